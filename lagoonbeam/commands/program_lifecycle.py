"""Start and end of a program: settings, signals and exit codes."""

from __future__ import annotations

import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import anyio
import typer

from lagoonbeam.core.settings import Settings, load_settings
from lagoonbeam.core.signal_receiver import receive_signals
from lagoonbeam.errors import SettingsError

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
DRAIN_SIGNALS = (signal.SIGTERM, signal.SIGINT)

SettingsT = TypeVar("SettingsT", bound=Settings)


def load_settings_or_exit(path: Path, model: type[SettingsT]) -> SettingsT:
    """Reads a settings file; on errors prints all of them and exits."""
    try:
        return load_settings(path, model)
    except SettingsError as error:
        typer.echo(error.detail, err=True)
        raise typer.Exit(EXIT_USAGE) from error


def block_drain_signals() -> None:
    """Blocks the signals that drain the program until `drain_on_signal`.

    Threads that start meanwhile inherit this, so that the signals reach the
    main thread only, where `receive_signals` blocks them while it changes
    handlers.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, DRAIN_SIGNALS)


async def drain_on_signal(drain: Callable[[], Awaitable[None]]) -> None:
    """Drains on the first SIGTERM or SIGINT; a second one exits at once.

    Signals after the drain are ignored.

    Args:
        drain: Finishes work in flight; when it returns, so does this
            function, and the program can exit.
    """
    with receive_signals(*DRAIN_SIGNALS) as received_signals:
        async with anyio.create_task_group() as task_group:
            signal_count = 0
            async for _ in received_signals:
                signal_count += 1
                if signal_count > 1:
                    os._exit(EXIT_FAILED)
                task_group.start_soon(_drain_and_cancel, drain, task_group)


async def _drain_and_cancel(
    drain: Callable[[], Awaitable[None]], task_group: anyio.abc.TaskGroup
) -> None:
    await drain()
    task_group.cancel_scope.cancel()
