"""Long randomised runs of the whole system under faults drawn from a seed.

The schedule of faults and the work are drawn from the seed alone; what the
processes make of them also depends on timing, so a replay repeats the
schedule, not every interleaving. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx

from harness.callers import Callers, finish_refused, make_request
from harness.checker import Verdict, judge_run
from harness.cluster import Cluster, Plan
from harness.soak_faults import (
    FAULTS,
    LEASE_S,
    ORGANISATIONS,
    SCHEDULER,
    WORKERS,
    ZONES,
    Run,
    apart,
    make_rules,
)

REQUESTS_PER_S = 6.0
QUIET_S = 25.0
"""Time without faults at the end, in which everything must be answered."""
LEAVING_BOUND_S = 3.0


async def watch_rules(run: Run) -> None:
    """Notes which version each instance has in force."""
    while True:
        for name in list(run.cluster.instances):
            with contextlib.suppress(httpx.HTTPError, KeyError, ValueError):
                reply = await apart(
                    run.cluster.call, "GET", "/v1/instances", instance=name
                )
                own = reply.json()["instances"][0]
                seen = (own["instance"], own["rules_version"], time.time())
                run.seen.append(seen)
        await asyncio.sleep(0.2)


async def send_work(run: Run, callers: Callers, until_s: float) -> None:
    """Sends requests at random times until the time is over."""
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while time.monotonic() < until_s:
            request = make_request(run.rng, number, ORGANISATIONS)
            number += 1
            run.requests.append(request)
            tasks.create_task(callers.send(request))
            await asyncio.sleep(run.rng.expovariate(REQUESTS_PER_S))


async def bring_faults(run: Run, until_s: float, kinds: list[str]) -> None:
    """Brings faults about, alone and together, until the time is over."""
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < until_s:
            for kind in run.rng.sample(kinds, run.rng.choice([1, 1, 2])):
                run.faults[kind] += 1
                print(f"  fault {kind}", flush=True)
                tasks.create_task(FAULTS[kind](run))
            await asyncio.sleep(run.rng.uniform(1.5, 5.0))


def judge_rules(run: Run, verdict: Verdict) -> None:
    """Checks that versions never go back, and spread in time."""
    latest: dict[str, int] = {}
    for name, version, at_s in run.seen:
        verdict.expect(
            "rules_never_revert",
            version >= latest.get(name, 0) or version == 0,
            f"{name}: version {version} after {latest.get(name)} at {at_s}",
        )
        latest[name] = max(version, latest.get(name, 0))
    newest = max(latest.values(), default=0)
    for name in run.cluster.instances:
        verdict.expect(
            "rules_everywhere",
            latest.get(name) == newest,
            f"{name}: version {latest.get(name)}, newest {newest}",
        )


def judge_leaving(
    run: Run, verdict: Verdict, history: list[dict[str, Any]]
) -> None:
    """Checks that leaving workers got nothing new."""
    for worker, since_s, until_s in run.leaving:
        late = [
            event
            for event in history
            if event["worker"] == worker
            and event["event"] == "started"
            and since_s + LEAVING_BOUND_S < event["at_s"] < until_s
        ]
        verdict.expect("leaving_gets_nothing", not late, f"{worker}: {late}")


def judge_logs(run: Run, verdict: Verdict) -> None:
    """Checks that no process reported a broken invariant or crashed."""
    for path in sorted(run.cluster.folder.glob("*-scheduler.log")):
        text = path.read_text()
        for sign in ("invariant.broken", "Traceback"):
            verdict.expect("no_crash", sign not in text, f"{path}: {sign}")
    for code in run.drain_codes:
        verdict.expect("drain_ends_well", code == 0, f"exit code {code}")


async def run_soak(run: Run, duration_s: float, kinds: list[str]) -> None:
    """Runs work and faults, then a quiet time to settle."""
    callers = Callers(run.cluster.list_urls, deadline_s=duration_s + QUIET_S)
    until_s = time.monotonic() + duration_s
    watcher = asyncio.create_task(watch_rules(run))
    work = asyncio.create_task(send_work(run, callers, until_s))
    await bring_faults(run, until_s, kinds)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(work, QUIET_S)
    watcher.cancel()
    await callers.close()


def main() -> int:
    """Runs one soak; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--faults", default="", help="comma-separated kinds")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-soak-"))
    plan = Plan(
        zones=ZONES,
        instances=2,
        workers=WORKERS,
        per_process=WORKERS,
        organisations=ORGANISATIONS,
        scheduler=SCHEDULER,
        relayed=True,
    )
    kinds = [k for k in arguments.faults.split(",") if k] or sorted(FAULTS)
    started_s = time.monotonic()
    print(f"seed {arguments.seed}, logs in {folder}")
    with Cluster(plan, folder) as cluster:
        run = Run(cluster, random.Random(arguments.seed))
        run.versions[cluster.publish(make_rules(0, 1.0))] = time.time()
        asyncio.run(run_soak(run, arguments.duration_s, kinds))
        for request in run.requests:
            finish_refused(request)
        history = cluster.read_history()
        verdict = judge_run(
            history, run.requests, now_s=time.time(), lease_s=LEASE_S
        )
        judge_rules(run, verdict)
        judge_leaving(run, verdict, history)
    judge_logs(run, verdict)
    for promise, found in verdict.violations.items():
        for what in found[:5]:
            print(f"  BROKEN {promise}: {what[:300]}")
    outcomes = collections.Counter(
        request.outcome or f"refused:{request.code}" for request in run.requests
    )
    print(
        json.dumps(
            {
                "seed": arguments.seed,
                "seconds": round(time.monotonic() - started_s, 1),
                "requests": len(run.requests),
                "outcomes": outcomes,
                "faults": run.faults,
                "checks": verdict.checks,
                "violations": {
                    name: len(found)
                    for name, found in verdict.violations.items()
                },
                "repeated": verdict.repeated,
                "longest_partial_s": round(verdict.longest_partial_s, 2),
            }
        )
    )
    return int(any(verdict.violations.values()))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
