"""Starts and terminates the processes of one run on loopback."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Self

import httpx

PROJECT_ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
"""Allows for the start of one program on a busy machine."""
POLL_INTERVAL_S = 0.05


class ProcessGroup(ABC):
    """Starts programs, writes their logs to a folder, and terminates them.

    Args:
        folder: Directory for the settings and logs of the run.
        timeout_s: Time-out of HTTP requests.
    """

    def __init__(self, folder: Path, timeout_s: float):
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http_client = httpx.Client(timeout=timeout_s, trust_env=False)

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    @abstractmethod
    def start(self) -> None:
        """Starts all processes and waits until they serve requests."""

    def close(self) -> None:
        """Kills all processes, also those paused by ``SIGSTOP``."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.http_client.close()

    def is_running(self, name: str) -> bool:
        """Returns whether a process has not exited."""
        return self.processes[name].poll() is None

    def wait_for_handler(
        self, name: str, signal_number: signal.Signals
    ) -> None:
        """Waits until a process handles a signal, has ended or is too late."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while (
            self.is_running(name)
            and not self._handles_signal(name, signal_number)
            and time.monotonic() < deadline_s
        ):
            time.sleep(POLL_INTERVAL_S)

    def _handles_signal(self, name: str, signal_number: int) -> bool:
        status_path = Path(f"/proc/{self.processes[name].pid}/status")
        with contextlib.suppress(OSError, IndexError):
            status = status_path.read_text()
            handled = int(status.partition("SigCgt:")[2].split()[0], 16)
            return bool(handled >> (signal_number - 1) & 1)
        return False

    def send_signal(self, name: str, signal_number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(signal_number)

    def start_process(
        self, name: str, *arguments: str, **environment: str
    ) -> None:
        """Starts a Python program.

        Args:
            name: Name of the process; its log is ``NAME.log``.
            *arguments: A script, or ``-m`` and a module, and its arguments.
            **environment: Variables added to its environment.
        """
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=PROJECT_ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **environment},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def wait_for_http(self, url: str) -> None:
        """Waits until a URL answers with a success status.

        Raises:
            TimeoutError: After ``START_TIMEOUT_S``; the message lists the
                processes that have exited.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while True:
            with contextlib.suppress(httpx.HTTPError):
                if self.http_client.get(url).is_success:
                    return
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"{url} did not answer in time;"
                    f" exited processes: {self._list_exited()}"
                )
            time.sleep(POLL_INTERVAL_S)

    def _list_exited(self) -> list[str]:
        return [name for name in self.processes if not self.is_running(name)]
