"""Demo of a three-zone system under a mixed workload with failures.

Prints the progress, a table of outcomes, the path of the merged time line and,
as the last line, a JSON object. Exits with 1 if an invariant was violated.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import yaml
from rich.console import Console
from rich.table import Table

from harness.cluster import OPERATOR_TOKEN, Cluster, ClusterConfig
from harness.ports import reserve_free_ports
from harness.retrying_client import (
    JobSubmission,
    RetryingClient,
    make_random_submission,
    resolve_refused_submission,
)
from harness.run_checker import CheckReport, check_run
from lagoonbeam.core.rules import encode_rules
from lagoonbeam.rules import RulesBuilder

ZONES = ["brest", "lorient", "vannes"]
ORGANISATIONS = ["armor", "kiosks", "vestnes", "netmakers"]
JOB_COUNT = 160
SUBMIT_WINDOW_S = 16.0
SEED = 7
LEASE_S = 5.0
SCHEDULER_SETTINGS = {
    "heartbeat_s": 0.3,
    "takeover_s": 1.2,
    "endpoints": {"lease_s": LEASE_S, "sync_wait_s": 1.5},
}


def build_rules() -> dict[str, Any]:
    """Returns the rules document of the demo."""
    rules = RulesBuilder(based_on=0)
    for zone in ZONES:
        rules.declare_racks(zone, racks=1, workers=4)
    for name in ORGANISATIONS:
        rules.add_organisation(name, weight=2.0 if name == "armor" else 1.0)
        rules.allow_kind(name, "edge", default_urgency="urgent")
        rules.allow_kind(name, "render", default_urgency="batch")
    for zone in ZONES:
        rules.guarantee("armor", zone, slots=8, count=1)
    rules.guarantee("vestnes", "lorient", slots=4, count=1)
    built: dict[str, Any] = json.loads(encode_rules(rules.build()))
    return built


def replace_instance(cluster: Cluster, name: str) -> str:
    """Kills an instance, starts another in its zone and returns its name."""
    old_instance = cluster.instances[name]
    cluster.kill_instance(name)
    cluster.remove_instance(name)
    entry_port, scheduler_port = reserve_free_ports(2)
    new_name = f"{old_instance.zone}-new"
    cluster.add_instance(
        new_name, old_instance.zone, entry_port, scheduler_port
    )
    return new_name


async def run_workload(
    cluster: Cluster, client: RetryingClient, submissions: list[JobSubmission]
) -> None:
    """Submits all jobs; kills a worker and an active instance half-way."""
    started_s = time.monotonic()

    async def submit_at(submission: JobSubmission, at_s: float) -> None:
        await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
        await client.submit(submission)

    async def inject_failures() -> None:
        await asyncio.sleep(SUBMIT_WINDOW_S / 2)
        worker = "lorient-w1"
        await asyncio.to_thread(cluster.set_worker_faults, worker, down_s=6.0)
        print(f"  worker {worker} killed")
        active = (await asyncio.to_thread(cluster.list_active_instances))[
            "brest"
        ]
        new_name = await asyncio.to_thread(replace_instance, cluster, active)
        print(f"  active instance {active} killed, replaced by {new_name}")

    async def print_progress() -> None:
        while True:
            await asyncio.sleep(2.0)
            done = sum(bool(submission.outcome) for submission in submissions)
            elapsed_s = time.monotonic() - started_s
            print(
                f"  {elapsed_s:5.1f} s: {done} of {len(submissions)} answered"
            )

    progress_task = asyncio.create_task(print_progress())
    rng = random.Random(SEED)
    submit_times_s = [rng.uniform(0, SUBMIT_WINDOW_S) for _ in submissions]
    await asyncio.gather(
        inject_failures(), *map(submit_at, submissions, submit_times_s)
    )
    progress_task.cancel()
    await client.close()


def write_timeline(cluster: Cluster, folder: Path) -> Path:
    """Writes the merged time line of all entries; returns its path."""
    settings = folder / "timeline.yaml"
    urls = [instance.url for instance in cluster.instances.values()]
    settings.write_text(yaml.safe_dump({"urls": urls, "token": OPERATOR_TOKEN}))
    output_path = folder / "timeline.txt"
    module = "lagoonbeam.commands.timeline"
    with output_path.open("w") as file:
        subprocess.run(
            [sys.executable, "-m", module, "--settings", str(settings)],
            stdout=file,
            check=False,
        )
    return output_path


def print_outcomes(submissions: list[JobSubmission]) -> None:
    """Prints the number of jobs by organisation and outcome."""
    outcome_names = ["completed", "failed", "did_not_run", "unknown", "refused"]
    table = Table("organisation", *outcome_names)
    for organisation in ORGANISATIONS:
        counts = collections.Counter(
            submission.outcome or "refused"
            for submission in submissions
            if submission.organisation == organisation
        )
        table.add_row(
            organisation, *(str(counts[name]) for name in outcome_names)
        )
    Console().print(table)


def make_summary(
    submissions: list[JobSubmission], report: CheckReport, duration_s: float
) -> dict[str, Any]:
    """Returns the summary that is printed as the last line."""
    outcomes = collections.Counter(
        submission.outcome for submission in submissions
    )
    refused = sum(
        not submission.outcome and submission.ran_status == "no"
        for submission in submissions
    )
    wrong_answer_invariants = (
        "right_answers",
        "true_denials",
        "true_completions",
        "one_answer",
    )
    return {
        "submitted": len(submissions),
        "completed": outcomes["completed"],
        "did_not_run": outcomes["did_not_run"] + refused,
        "failed": outcomes["failed"] + outcomes["cancelled"],
        "unknown": outcomes["unknown"],
        "doubled": len(report.violations["at_most_once"]),
        "partial_gangs": len(report.violations["whole_gangs"]),
        "wrong_answers": sum(
            len(report.violations[name]) for name in wrong_answer_invariants
        ),
        "unanswered": len(report.violations["every_caller_answered"]),
        "longest_partial_s": round(report.longest_partial_s, 2),
        "seconds": round(duration_s, 1),
    }


def main() -> int:
    """Runs the demo and returns the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-demo-"))
    config = ClusterConfig(
        zones=ZONES,
        instances_per_zone=2,
        workers_per_zone=4,
        workers_per_process=2,
        organisations=ORGANISATIONS,
        scheduler_settings=SCHEDULER_SETTINGS,
    )
    rng = random.Random(SEED)
    submissions = [
        make_random_submission(rng, n, ORGANISATIONS) for n in range(JOB_COUNT)
    ]
    started_s = time.monotonic()
    print(f"Starting 3 zones of 2 instances and 4 workers; logs in {folder}")
    with Cluster(config, folder) as cluster:
        print(f"  ready; rules version {cluster.publish_rules(build_rules())}")
        client = RetryingClient(cluster.list_entry_urls, retry_timeout_s=30.0)
        asyncio.run(run_workload(cluster, client, submissions))
        for submission in submissions:
            resolve_refused_submission(submission)
        report = check_run(
            cluster.read_worker_history(),
            submissions,
            now_s=time.time(),
            lease_s=LEASE_S,
        )
        timeline = write_timeline(cluster, folder)
    print_outcomes(submissions)
    for invariant, violations in report.violations.items():
        for violation in violations:
            print(f"  BROKEN {invariant}: {violation}")
    print(f"Merged time line: {timeline}")
    summary = make_summary(submissions, report, time.monotonic() - started_s)
    print(json.dumps(summary))
    violation_keys = ("doubled", "partial_gangs", "wrong_answers", "unanswered")
    return int(any(summary[name] for name in violation_keys))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
