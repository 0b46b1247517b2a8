"""A start is carried out late by a worker that has restarted since."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_site import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Site,
    Worker,
    run_case,
)

WORKER_COUNT = 8
"""One of eight is below the share of 0.14 of crashing workers."""
RUN_S = 10.0
LATE_S = 8.0
"""Late orders are carried out 2 to 12 s later."""
CRASH_AFTER_S = 4.0
DOWN_S = 1.0
"""Crashed workers are down for up to 4.5 s."""
STEPS: list[dict[str, int]] = [
    {"gpu": 1},
    {"gpu": 7},
    {"gpu": 1, "cpu": 20_000},
    {"gpu": 6, "cpu": 20_000},
]
"""The first two fill one worker, the others another one but for one GPU, so
that the latter is the fuller one once the first start is given up."""


def find_overlaps(workers: list[Worker]) -> list[str]:
    """Returns the work items of which two runs were there at the same time."""
    runs: dict[str, list[tuple[float, float, str, int]]] = {}
    for worker in workers:
        for task, run in worker.all_runs:
            runs.setdefault(task, []).append(
                (run.started_s, run.ended_s, worker.name, run.number)
            )
    return [
        f"{task}: run {a[3]} on {a[2]} and run {b[3]} on {b[2]}"
        f" for {min(a[1], b[1]) - b[0]:.2f} s"
        for task, each in runs.items()
        for a, b in itertools.combinations(sorted(each), 2)
        if b[0] < a[1]
    ]


async def run() -> int:
    """Runs the case."""
    async with Site(FOLDER, worker_count=WORKER_COUNT) as site:
        target: asyncio.Future[Worker] = asyncio.Future()

        def choose_start_delay_s(worker: Worker) -> float | None:
            if not site.has_trouble or target.done():
                return None
            target.set_result(worker)
            return LATE_S

        for worker in site.workers:
            worker.run_s = RUN_S
            worker.choose_start_delay_s = choose_start_delay_s
        for host in site.hosts:
            site.start(host)
        if not await site.wait_until_ready():
            return NOT_RUN
        await asyncio.sleep(4.0)
        for number, step in enumerate(STEPS):
            host = site.hosts[number % len(site.hosts)]
            if await site.submit(host, **step) is None:
                return NOT_RUN
            await asyncio.sleep(0.05)
        if site.has_trouble:
            worker = await asyncio.wait_for(target, 10.0)
            await asyncio.sleep(CRASH_AFTER_S)
            await worker.crash(DOWN_S)
        await asyncio.sleep(LATE_S + RUN_S)
        started = sum(len(worker.all_runs) for worker in site.workers)
        overlaps = find_overlaps(site.workers)
        site.record.add("script", f"{started} runs; at once: {overlaps}")
        if started < len(STEPS):
            return NOT_RUN
        return BROKEN if overlaps else HELD


sys.exit(run_case(run))
