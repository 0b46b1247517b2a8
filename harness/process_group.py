"""Processes of one run on loopback; each is ended by its own process id."""

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

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
"""Longest start of one program on a busy machine."""
POLL_INTERVAL_S = 0.05


class ProcessGroup(ABC):
    """Starts programs, keeps their logs in a folder, and ends them.

    Args:
        folder: Where settings and logs of the run go.
        timeout_s: Longest wait for the answer to a call.
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
        """Starts everything and waits until it serves."""

    def close(self) -> None:
        """Ends all processes, also those that are stopped."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.http_client.close()

    def is_running(self, name: str) -> bool:
        """Returns whether a process runs."""
        return self.processes[name].poll() is None

    def send_signal(self, name: str, signal_number: int) -> None:
        """Sends a process a signal."""
        self.processes[name].send_signal(signal_number)

    def start_process(
        self, name: str, *arguments: str, **environment: str
    ) -> None:
        """Starts a Python program.

        Args:
            name: What to call it; its log is ``NAME.log``.
            *arguments: A script, or ``-m`` and a module, and arguments.
            **environment: Added to its environment.
        """
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **environment},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def wait_for_http(self, url: str) -> None:
        """Waits until a program answers with success.

        Raises:
            TimeoutError: If it does not; the text names what has ended.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while True:
            with contextlib.suppress(httpx.HTTPError):
                if self.http_client.get(url).is_success:
                    return
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"{url} does not answer; {self._list_exited()}"
                )
            time.sleep(POLL_INTERVAL_S)

    def _list_exited(self) -> list[str]:
        return [name for name in self.processes if not self.is_running(name)]
