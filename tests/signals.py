"""Sends signals to processes."""

from __future__ import annotations

import signal
import subprocess
import time

INTERVAL_S = 0.0005
TIMEOUT_S = 20.0


def send_until_exit(
    process: subprocess.Popen[bytes], signal_number: signal.Signals
) -> None:
    """Repeats a signal in short intervals until the process has exited."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while process.poll() is None:
        assert time.monotonic() < deadline_s, "the process did not exit"
        process.send_signal(signal_number)
        time.sleep(INTERVAL_S)
