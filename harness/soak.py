"""Long randomised runs of the system under injected faults.

The seed alone determines the schedule of faults and the workload. How the
processes interleave also depends on timing, so a rerun with the same seed
repeats the schedule only. The last line of the output is a JSON object.
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

from harness.cluster import Cluster, ClusterConfig
from harness.retrying_client import (
    RetryingClient,
    make_random_submission,
    resolve_refused_submission,
)
from harness.run_checker import CheckReport, check_run
from harness.soak_faults import (
    FAULTS,
    LEASE_S,
    SCHEDULER_SETTINGS,
    WORKERS_PER_ZONE,
    SoakRun,
    in_thread,
)
from harness.soak_requests import ORGANISATIONS, ZONES, make_rules

REQUESTS_PER_S = 6.0
SETTLE_TIME_S = 25.0
"""Fault-free time at the end, within which every job must have an answer."""
LIST_READ_INTERVAL_S = 1.0
"""Time within which every scheduler reads the instance list."""
LEAVING_DETECTION_LIMIT_S = 3.0
"""Time within which schedulers must notice that a worker is leaving."""


async def record_rules_versions(run: SoakRun) -> None:
    """Records the rules version that each instance has in force."""
    while True:
        for name in list(run.cluster.instances):
            with contextlib.suppress(httpx.HTTPError, KeyError, ValueError):
                reply = await in_thread(
                    run.cluster.call_entry,
                    "GET",
                    "/v1/instances",
                    instance=name,
                )
                own_status = reply.json()["instances"][0]
                observation = (
                    own_status["instance"],
                    own_status["rules_version"],
                    time.time(),
                )
                run.seen_versions.append(observation)
        await asyncio.sleep(0.2)


async def submit_workload(
    run: SoakRun, client: RetryingClient, end_s: float
) -> None:
    """Submits jobs at random intervals until the time is over."""
    async with asyncio.TaskGroup() as task_group:
        next_number = 0
        while time.monotonic() < end_s:
            submission = make_random_submission(
                run.rng, next_number, ORGANISATIONS
            )
            next_number += 1
            run.submissions.append(submission)
            task_group.create_task(client.submit(submission))
            await asyncio.sleep(run.rng.expovariate(REQUESTS_PER_S))


async def inject_faults(
    run: SoakRun, duration_s: float, kinds: list[str]
) -> None:
    """Injects one or two faults at random intervals until the time is over."""
    end_s = time.monotonic() + duration_s
    async with asyncio.TaskGroup() as task_group:
        while time.monotonic() < end_s:
            for kind in run.rng.sample(kinds, run.rng.choice([1, 1, 2])):
                run.fault_counts[kind] += 1
                elapsed_s = duration_s - (end_s - time.monotonic())
                print(f"  {elapsed_s:6.2f} s: fault {kind}", flush=True)
                task_group.create_task(FAULTS[kind](run))
            await asyncio.sleep(run.rng.uniform(1.5, 5.0))


def check_rules_versions(run: SoakRun, report: CheckReport) -> None:
    """Checks that versions never go back and reach every instance."""
    latest_versions: dict[str, int] = {}
    for name, version, at_s in run.seen_versions:
        report.check(
            "rules_never_revert",
            version >= latest_versions.get(name, 0) or version == 0,
            f"{name}: version {version} after {latest_versions.get(name)}"
            f" at {at_s}",
        )
        latest_versions[name] = max(version, latest_versions.get(name, 0))
    newest_version = max(latest_versions.values(), default=0)
    for name in run.cluster.instances:
        report.check(
            "rules_everywhere",
            latest_versions.get(name) == newest_version,
            f"{name}: version {latest_versions.get(name)},"
            f" newest {newest_version}",
        )


def find_shown_s(
    list_lags_s: list[tuple[float, float]], changed_at_s: float
) -> float:
    """Returns when the instance list first showed a change to all readers.

    Args:
        list_lags_s: How far the list lagged, with the time of each change.
        changed_at_s: When the list was changed.
    """
    starts = [(0.0, 0.0), *list_lags_s]
    ends = [*(at_s for at_s, _ in list_lags_s), float("inf")]
    return next(
        shown_s
        for (start_s, lag_s), end_s in zip(starts, ends, strict=True)
        if (shown_s := max(start_s, changed_at_s + lag_s))
        <= end_s - LIST_READ_INTERVAL_S
    )


def check_leaving_workers(
    run: SoakRun, report: CheckReport, history: list[dict[str, Any]]
) -> None:
    """Checks that no task was started on a worker shown as leaving."""
    for worker, changed_at_s, end_s in run.leaving_times:
        shown_s = find_shown_s(run.list_lags_s, changed_at_s)
        late_starts = [
            event
            for event in history
            if event["worker"] == worker
            and event["event"] == "started"
            and shown_s + LEAVING_DETECTION_LIMIT_S < event["at_s"] < end_s
        ]
        report.check(
            "leaving_gets_nothing", not late_starts, f"{worker}: {late_starts}"
        )


def check_process_logs(run: SoakRun, report: CheckReport) -> None:
    """Checks for violated invariants, crashes and failed drains."""
    for path in sorted(run.cluster.folder.glob("*-scheduler.log")):
        text = path.read_text()
        for error_marker in ("invariant.broken", "Traceback"):
            report.check(
                "no_crash", error_marker not in text, f"{path}: {error_marker}"
            )
    for exit_code in run.drain_exit_codes:
        report.check(
            "drain_ends_well", exit_code == 0, f"exit code {exit_code}"
        )


async def run_soak(run: SoakRun, duration_s: float, kinds: list[str]) -> None:
    """Runs the workload under faults, then lets the system settle."""
    client = RetryingClient(
        run.cluster.list_entry_urls, retry_timeout_s=duration_s + SETTLE_TIME_S
    )
    end_s = time.monotonic() + duration_s
    rules_recorder = asyncio.create_task(record_rules_versions(run))
    workload = asyncio.create_task(submit_workload(run, client, end_s))
    await inject_faults(run, duration_s, kinds)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(workload, SETTLE_TIME_S)
    rules_recorder.cancel()
    await client.close()


def main() -> int:
    """Runs one soak test and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--faults", default="", help="comma-separated kinds")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-soak-"))
    config = ClusterConfig(
        zones=ZONES,
        instances_per_zone=2,
        workers_per_zone=WORKERS_PER_ZONE,
        workers_per_process=WORKERS_PER_ZONE,
        organisations=ORGANISATIONS,
        scheduler_settings=SCHEDULER_SETTINGS,
        uses_relays=True,
    )
    kinds = [k for k in arguments.faults.split(",") if k] or sorted(FAULTS)
    started_s = time.monotonic()
    print(f"seed {arguments.seed}, logs in {folder}")
    with Cluster(config, folder) as cluster:
        run = SoakRun(cluster, random.Random(arguments.seed))
        run.rules_accepted_at_s[cluster.publish_rules(make_rules(0, 1.0))] = (
            time.time()
        )
        asyncio.run(run_soak(run, arguments.duration_s, kinds))
        for submission in run.submissions:
            resolve_refused_submission(submission)
        history = cluster.read_worker_history()
        report = check_run(
            history, run.submissions, now_s=time.time(), lease_s=LEASE_S
        )
        check_rules_versions(run, report)
        check_leaving_workers(run, report, history)
    check_process_logs(run, report)
    for invariant, violations in report.violations.items():
        for violation in violations[:5]:
            print(f"  BROKEN {invariant}: {violation[:300]}")
    outcomes = collections.Counter(
        submission.outcome or f"refused:{submission.error_code}"
        for submission in run.submissions
    )
    print(
        json.dumps(
            {
                "seed": arguments.seed,
                "seconds": round(time.monotonic() - started_s, 1),
                "requests": len(run.submissions),
                "outcomes": outcomes,
                "faults": run.fault_counts,
                "checks": report.check_counts,
                "violations": {
                    name: len(violations)
                    for name, violations in report.violations.items()
                },
                "repeated": report.repeated_completions,
                "longest_partial_s": round(report.longest_partial_s, 2),
            }
        )
    )
    return int(any(report.violations.values()))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
