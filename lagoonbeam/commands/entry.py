"""``lagoonbeam-entry``: the resident HTTP server of an entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, cast

import anyio
import typer
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import Framework
from starlette.applications import Starlette

from lagoonbeam.commands.running import read_settings, watch_signals
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.logging_setup import configure_logging
from lagoonbeam.core.settings import EntrySettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.errors import SettingsError

DRAIN_NOTICE_S = 0.5
"""Time for the balancer to see that the instance is leaving."""
DRAIN_MARGIN_S = 1.0
"""Time left to send the last answers."""

program = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@program.command()
def run(
    settings: Annotated[Path, typer.Option(help="Settings file (YAML).")],
    check_settings: Annotated[
        bool, typer.Option(help="Check the settings file and exit.")
    ] = False,
) -> None:
    """Serves callers and operators over HTTP.

    Run one on each entry instance. SIGTERM stops listening, finishes the
    open requests and ends; a second SIGTERM ends at once.
    """
    values = read_settings(settings, EntrySettings)
    if check_settings:
        typer.echo(f"{settings}: valid")
        return
    configure_logging(
        level=values.log_level,
        program="entry",
        instance=values.instance,
        availability_zone=values.availability_zone,
    )
    try:
        anyio.run(_run, values)
    except SettingsError as error:
        typer.echo(error.detail, err=True)
        raise typer.Exit(2) from error


async def _run(settings: EntrySettings) -> None:
    from lagoonbeam.entry.application import EntryApplication
    from lagoonbeam.entry.backend import Backend

    events = EventLog(
        program="entry",
        instance=settings.instance,
        availability_zone=settings.availability_zone,
    )
    metrics = StatsdMetrics(settings.metrics, instance=settings.instance)
    backend = Backend(settings.schedulers, events.clock)
    entry = EntryApplication(
        settings, backend=backend, events=events, metrics=metrics
    )
    ended = anyio.Event()

    async def drain() -> None:
        entry.drain(within_s=settings.drain_s - DRAIN_MARGIN_S)
        events.emit("entry.draining")
        await anyio.sleep(DRAIN_NOTICE_S)
        ended.set()
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        await backend.start(tasks)
        events.emit("entry.started")
        tasks.start_soon(watch_signals, drain)
        await _serve(entry.build(), settings, ended)
        await backend.close()
        events.emit("entry.closed")
        metrics.close()
        tasks.cancel_scope.cancel()


async def _serve(
    application: Starlette, settings: EntrySettings, ended: anyio.Event
) -> None:
    """Serves until `ended`, then finishes the open requests."""
    config = Config()
    config.bind = [f"{settings.listen.host}:{settings.listen.port}"]
    config.graceful_timeout = settings.drain_s
    config.read_timeout = None
    config.keep_alive_timeout = 60.0
    config.h11_max_incomplete_size = 16_384
    config.include_server_header = False
    asgi = cast(Framework, application)
    await serve(asgi, config, shutdown_trigger=ended.wait)


def main() -> None:
    """Entry point of the program."""
    program()


if __name__ == "__main__":
    main()
