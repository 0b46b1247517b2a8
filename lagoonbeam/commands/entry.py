"""``lagoonbeam-entry``: the resident HTTP server of an entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import anyio
import anyio.abc
import typer

from lagoonbeam.commands.program_lifecycle import (
    block_drain_signals,
    drain_on_signal,
    load_settings_or_exit,
)
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.http_server import HttpServer, ServerLimits
from lagoonbeam.core.logging_setup import configure_logging
from lagoonbeam.core.process_budget import make_request_budget
from lagoonbeam.core.settings import EntrySettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.core.tcp_connection import SocketBuffers
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
    block_drain_signals()
    try:
        anyio.run(_run_entry, entry_settings)
    except SettingsError as error:
        typer.echo(error.detail, err=True)
        raise typer.Exit(2) from error


async def _run_entry(settings: EntrySettings) -> None:
    from lagoonbeam.entry.application import EntryApplication
    from lagoonbeam.entry.asgi import AsgiHandler
    from lagoonbeam.entry.problems import make_refusal
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

    budget = make_request_budget(
        settings.machine,
        settings.request_limits,
        events=events,
        metrics=metrics,
    )
    server = HttpServer(
        AsgiHandler(entry_application.build_asgi_application()).answer,
        ServerLimits(
            body_bytes=settings.limits.body_bytes,
            header_timeout_s=settings.limits.header_timeout_s,
            idle_timeout_s=settings.limits.idle_timeout_s,
            answers_silence=True,
        ),
        budget=budget,
        buffers=SocketBuffers(),
        check_head=entry_application.check_head,
        make_refusal=make_refusal,
    )
    async with anyio.create_task_group() as task_group:
        await scheduler_client.start(task_group)
        events.emit("entry.started")
        task_group.start_soon(budget.monitor.run)
        async with anyio.create_task_group() as serving_tasks:
            # Listening starts a thread, which has to inherit blocked signals.
            await serving_tasks.start(
                _serve_http, server, settings, shutdown_requested
            )
            task_group.start_soon(drain_on_signal, drain)
        await scheduler_client.close()
        metrics.close()
        task_group.cancel_scope.cancel()
        events.emit("entry.closed")


async def _serve_http(
    server: HttpServer,
    settings: EntrySettings,
    shutdown_requested: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until a shutdown is requested, then finishes open requests."""
    async with anyio.create_task_group() as task_group:
        await task_group.start(
            server.serve, settings.listen.host, settings.listen.port
        )
        task_status.started()
        await shutdown_requested.wait()
        server.stop_accepting()
        server.drain()
        task_group.cancel_scope.deadline = (
            anyio.current_time() + settings.drain_s
        )


def main() -> None:
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
