"""``lagoonbeam-scheduler``: the resident scheduler of an entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import anyio
import typer

from lagoonbeam.commands.program_lifecycle import (
    block_drain_signals,
    drain_on_signal,
    load_settings_or_exit,
)
from lagoonbeam.core.import_blocking import block_import
from lagoonbeam.core.logging_setup import configure_logging
from lagoonbeam.core.settings import SchedulerSettings

program = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@program.command()
def run(
    settings: Annotated[Path, typer.Option(help="Settings file (YAML).")],
    check_settings: Annotated[
        bool, typer.Option(help="Check the settings file and exit.")
    ] = False,
) -> None:
    """Schedules the jobs of this instance's availability zone.

    Run one on each entry instance. One scheduler of a zone is active; the
    others are standbys that take over within seconds. On SIGTERM it hands
    over and exits; a second SIGTERM exits at once.
    """
    scheduler_settings = load_settings_or_exit(settings, SchedulerSettings)
    if check_settings:
        typer.echo(f"{settings}: valid")
        return
    configure_logging(
        level=scheduler_settings.log_level,
        program="scheduler",
        instance=scheduler_settings.instance,
        availability_zone=scheduler_settings.availability_zone,
    )
    block_drain_signals()
    anyio.run(_run_scheduler, scheduler_settings)


async def _run_scheduler(settings: SchedulerSettings) -> None:
    with block_import("click"):
        from lagoonbeam.scheduler.process import SchedulerProcess

    process = SchedulerProcess(settings)
    async with process.running():
        await drain_on_signal(process.drain)


def main() -> None:
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
