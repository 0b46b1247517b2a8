"""A late write of a snapshot's manifest, then a rolling restart."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_site import (  # noqa: E402
    BROKEN,
    HELD,
    KNOWN_STATES,
    NOT_RUN,
    Site,
    run_case,
)

LATE_S = 6.0
"""The store executes a write without an answer up to 6 s later."""
KILL_AFTER_S = 0.5
"""Time from the unanswered call to the end of the instance that made it."""
DARK_S = 1.0
"""Time from the end of that instance to its next start."""
GAP_S = 2.0
"""Time between two machines of a rolling restart."""
RECOVERY_S = 12.0
JOB_COUNT = 8


async def restart_in_turn(site: Site) -> None:
    """Restarts all instances, one at a time, as planned work does."""
    for host in site.hosts:
        site.send_signal(host, signal.SIGTERM)
        for _ in range(60):
            if site.has_ended(host):
                break
            await asyncio.sleep(0.1)
        site.kill(host)
        site.start(host)
        await asyncio.sleep(GAP_S)


async def run() -> int:
    """Runs the case."""
    async with Site(FOLDER, keep_s=300) as site:
        held = asyncio.Event()

        def choose_delay_s(topic: str, records: list[bytes]) -> float | None:
            is_manifest = any(each[1:5] == b"head" for each in records)
            if topic != "keyed.snapshot" or not is_manifest or held.is_set():
                return None
            held.set()
            return LATE_S

        if site.has_trouble:
            site.store.choose_delay_s = choose_delay_s
        for host in site.hosts:
            site.start(host)
        if site.has_trouble:
            await asyncio.wait_for(held.wait(), 30)
            leader = next(
                host
                for host in site.hosts
                if any(
                    line["event"] == "term.claimed"
                    for line in site.read_log(host)
                )
            )
            await asyncio.sleep(KILL_AFTER_S)
            site.kill(leader)
            await asyncio.sleep(DARK_S)
            site.start(leader)
        if not await site.wait_until_ready():
            return NOT_RUN
        await asyncio.sleep(LATE_S + 2.0)
        accepted = []
        for number in range(JOB_COUNT):
            job_id = await site.submit(site.hosts[number % len(site.hosts)])
            if job_id is not None:
                accepted.append(job_id)
        if len(accepted) < JOB_COUNT:
            return NOT_RUN
        if site.has_trouble:
            await restart_in_turn(site)
        is_ready = await site.wait_until_ready(30.0 + RECOVERY_S)
        states = await site.list_states(accepted)
        site.record.add("script", f"ready: {is_ready}; states: {states}")
        is_kept = all(KNOWN_STATES & set(each) for each in states.values())
        return HELD if is_kept else BROKEN


sys.exit(run_case(run))
