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

from lagoonbeam.commands.program_lifecycle import (
    drain_on_signal,
    load_settings_or_exit,
)
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.logging_setup import configure_logging
from lagoonbeam.core.settings import EntrySettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.errors import SettingsError

READINESS_PROPAGATION_S = 0.5
"""Time for the load balancer to see that the instance is not ready, during
which new connections are still accepted."""
FINAL_RESPONSE_MARGIN_S = 1.0
"""Part of `drain_s` in which the last responses are sent."""

program = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@program.command()
def run(
    settings: Annotated[Path, typer.Option(help="Settings file (YAML).")],
    check_settings: Annotated[
        bool, typer.Option(help="Check the settings file and exit.")
    ] = False,
) -> None:
    """Serves callers and operators over HTTP.

    Run one on each entry instance. On SIGTERM it stops listening, finishes
    the open requests and exits; a second SIGTERM exits at once.
    """
    entry_settings = load_settings_or_exit(settings, EntrySettings)
    if check_settings:
        typer.echo(f"{settings}: valid")
        return
    configure_logging(
        level=entry_settings.log_level,
        program="entry",
        instance=entry_settings.instance,
        availability_zone=entry_settings.availability_zone,
    )
    try:
        anyio.run(_run_entry, entry_settings)
    except SettingsError as error:
        typer.echo(error.detail, err=True)
        raise typer.Exit(2) from error


async def _run_entry(settings: EntrySettings) -> None:
    from lagoonbeam.entry.application import EntryApplication
    from lagoonbeam.entry.scheduler_client import SchedulerClient

    events = EventLog(
        program="entry",
        instance=settings.instance,
        availability_zone=settings.availability_zone,
    )
    metrics = StatsdMetrics(settings.metrics, instance=settings.instance)
    scheduler_client = SchedulerClient(settings.schedulers, events.clock)
    entry_application = EntryApplication(
        settings,
        scheduler_client=scheduler_client,
        events=events,
        metrics=metrics,
    )
    shutdown_requested = anyio.Event()

    async def drain() -> None:
        entry_application.drain(
            timeout_s=settings.drain_s - FINAL_RESPONSE_MARGIN_S
        )
        events.emit("entry.draining")
        await anyio.sleep(READINESS_PROPAGATION_S)
        shutdown_requested.set()
        await anyio.sleep_forever()

    async with anyio.create_task_group() as task_group:
        await scheduler_client.start(task_group)
        events.emit("entry.started")
        task_group.start_soon(drain_on_signal, drain)
        await _serve_http(
            entry_application.build_asgi_application(),
            settings,
            shutdown_requested,
        )
        await scheduler_client.close()
        metrics.close()
        task_group.cancel_scope.cancel()
        events.emit("entry.closed")


async def _serve_http(
    asgi_application: Starlette,
    settings: EntrySettings,
    shutdown_requested: anyio.Event,
) -> None:
    """Serves until a shutdown is requested, then finishes open requests."""
    hypercorn_config = Config()
    hypercorn_config.bind = [f"{settings.listen.host}:{settings.listen.port}"]
    hypercorn_config.graceful_timeout = settings.drain_s
    hypercorn_config.read_timeout = None
    hypercorn_config.keep_alive_timeout = 60.0
    hypercorn_config.h11_max_incomplete_size = 16_384
    hypercorn_config.include_server_header = False
    hypercorn_application = cast(Framework, asgi_application)
    await serve(
        hypercorn_application,
        hypercorn_config,
        shutdown_trigger=shutdown_requested.wait,
    )


def main() -> None:
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
