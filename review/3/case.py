"""TWICE: a worker restarts under its id, and work that is done runs again."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from standin_case import run_case
from standin_site import Site

WORKERS = 8
"""One of them is a share of 0.125; the site has 0.14."""
JOBS = 50
SUBMIT_INTERVAL_S = 0.15
RUN_S = 1.0
RESTART_AFTER_JOBS = 15
SETTLE_S = 8.0


async def play(site: Site, has_trouble: bool) -> str | None:
    """Submits short jobs; one worker crashes and starts again meanwhile."""
    await asyncio.sleep(2.0)
    for number in range(JOBS):
        if has_trouble and number == RESTART_AFTER_JOBS:
            await restart_busiest_worker(site)
        await site.submit(
            site.names[number % len(site.names)],
            [{"count": 1, "cpu": 4000, "mem_mb": 1000, "gpu": 1}],
            run_s=RUN_S,
        )
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    await asyncio.sleep(SETTLE_S)
    return find_repeats(site)


async def restart_busiest_worker(site: Site) -> None:
    """Restarts a worker after a check-in; the next is a heartbeat later."""
    starts = Counter(entry["worker"] for entry in site.find("start"))
    name = starts.most_common(1)[0][0]
    seen = len(site.find("check_in", worker=name))
    while len(site.find("check_in", worker=name)) == seen:
        await asyncio.sleep(0.005)
    workers = site.fleet.workers.items()
    site.fleet.restart(next(h for h, w in workers if w.name == name))


def find_repeats(site: Site) -> str | None:
    """Returns the work items that started after an end that was noted."""
    noted = {
        (entry["task"], entry["run"])
        for entry in site.find("noted", how="done")
    }
    repeats = sorted(
        {
            done["task"]
            for done in site.find("end", how="done")
            if (done["task"], done["run"]) in noted
            for start in site.find("start", task=done["task"])
            if start["at_s"] > done["at_s"]
        }
    )
    if not repeats:
        return None
    return (
        f"{len(repeats)} work items were started after a run of them had"
        f" ended done and ack_cursor had reached that end: {repeats}"
    )


run_case(Site(Path(__file__).with_name("record.txt"), workers=WORKERS), play)
