"""Runs a case and turns its outcome into an exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from typing import NoReturn

from standin_site import Site

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115


def run_case(
    site: Site, play: Callable[[Site, bool], Awaitable[str | None]]
) -> None:
    """Plays a case and exits.

    Args:
        site: The site.
        play: Plays the case with or without its disruption; returns how the
            rule was broken, or None if it held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def leave(status: int) -> NoReturn:
        """Ends the processes, then this one without waiting for its tasks."""
        site.close()
        sys.stdout.flush()
        os._exit(status)

    def give_up(signal_number: int, _: object) -> NoReturn:
        site.log("could_not_run", cause=signal.Signals(signal_number).name)
        leave(COULD_NOT_RUN)

    async def play_and_leave() -> NoReturn:
        try:
            await site.start()
            breach = await play(site, has_trouble)
        except BaseException:
            traceback.print_exc()
            site.log("could_not_run", cause=traceback.format_exc())
            leave(COULD_NOT_RUN)
        site.log("verdict", broken=breach)
        print(f"broken: {breach}" if breach else "held")
        leave(BROKEN if breach else HELD)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(TIME_LIMIT_S)
    asyncio.run(play_and_leave())
