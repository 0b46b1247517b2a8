"""``lagoonbeam-scheduler``: the resident scheduler of an entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import anyio
import typer

from lagoonbeam.commands.running import read_settings, watch_signals
from lagoonbeam.core.imports import hide_module
from lagoonbeam.core.logs import configure_logging
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

    Run one on each entry instance. One of a zone is active, the others
    follow and take over within seconds. SIGTERM hands over and ends; a
    second SIGTERM ends at once.
    """
    values = read_settings(settings, SchedulerSettings)
    if check_settings:
        typer.echo(f"{settings}: valid")
        return
    configure_logging(
        level=values.log_level,
        program="scheduler",
        instance=values.instance,
        availability_zone=values.availability_zone,
    )
    anyio.run(_run, values)


async def _run(settings: SchedulerSettings) -> None:
    with hide_module("click"):
        from lagoonbeam.scheduler.process import SchedulerProcess

    process = SchedulerProcess(settings)
    async with process.running():
        await watch_signals(process.drain)


def main() -> None:
    """Entry point of the program."""
    program()


if __name__ == "__main__":
    main()
