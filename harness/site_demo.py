"""Demo of a site under a mixed workload with failures.

Prints the progress, a table of outcomes, the path of the logs and, as the last
line, a JSON object. Exits with 1 if an invariant was violated.
"""

from __future__ import annotations

import collections
import json
import random
import secrets
import signal
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
from rich.console import Console
from rich.table import Table

from harness.run_history import find_duplicate_runs
from harness.site import PATH_PREFIXES, Site, SiteConfig, make_step

JOB_COUNT = 120
SUBMIT_WINDOW_S = 12.0
SEED = 7
COMPLETION_TIMEOUT_S = 40.0
MAX_SUBMIT_TRIES = 8
KIND_BY_PRIORITY = {0: "check", 1: "render", 2: "batch"}
VIOLATION_KEYS = ("doubled", "partial_gangs", "wrong_answers", "unanswered")


@dataclass
class DemoJob:
    """One job of the demo and the responses to its caller."""

    path: str
    priority: int
    members: int
    body: dict[str, Any]
    http_statuses: list[int] = field(default_factory=list)
    state: str = ""

    @property
    def job_id(self) -> str:
        """Identifier of the job, the last part of its path."""
        return self.path.rsplit("/", 1)[1]


def make_demo_job(rng: random.Random) -> DemoJob:
    """Draws a job: one step of 1 to 3 tasks, or a batch job of two steps."""
    priority = rng.choice((0, 0, 1, 2))
    members = rng.choice((1, 2, 3)) if priority < 2 else 0
    gpu = rng.choice((1, 2, 4))
    spec = {"run_s": rng.uniform(0.3, 1.5), "gpu": gpu, "members": members}
    if members:
        steps = [make_step(members, gpu=gpu, gang=members > 1)]
        spec["members"] = members if members > 1 else 0
    else:
        steps = [make_step(3, gpu=gpu), make_step(1, gpu=gpu, after=[0])]
    path = PATH_PREFIXES[priority] + f"{rng.getrandbits(64):016x}"
    body = {"spec": json.dumps(spec), "steps": steps}
    return DemoJob(path, priority, members, body)


def submit_job(site: Site, job: DemoJob, at_s: float) -> None:
    """Submits one job, retrying at a random instance until it is accepted."""
    time.sleep(max(0.0, at_s - time.monotonic()))
    for _ in range(MAX_SUBMIT_TRIES):
        name = secrets.choice(site.instance_names)
        try:
            response = site.call_front(
                "POST", job.path, instance=name, body=job.body
            )
        except httpx.HTTPError:
            job.http_statuses.append(0)
        else:
            job.http_statuses.append(response.status_code)
            if response.status_code == 200:
                return
        time.sleep(0.4)


def inject_failures(site: Site, started_s: float) -> None:
    """Crashes a worker and restarts the active instance half-way."""
    time.sleep(max(0.0, started_s + SUBMIT_WINDOW_S / 2 - time.monotonic()))
    site.control_worker(1, "crash")
    print("  worker w1 crashed")
    active = site.find_active_instance()
    site.kill_process(active)
    time.sleep(1.0)
    site.start_instance(active)
    print(f"  active instance {active} killed and restarted")


def wait_for_final_states(site: Site, jobs: list[DemoJob]) -> None:
    """Polls all accepted jobs until they have reached a final state."""
    deadline_s = time.monotonic() + COMPLETION_TIMEOUT_S
    open_jobs = [job for job in jobs if 200 in job.http_statuses]
    while open_jobs and time.monotonic() < deadline_s:
        for job in open_jobs:
            response = site.call_front(
                "GET", job.path, instance=site.instance_names[0]
            )
            if response.status_code == 200:
                job.state = response.json()["state"]
        final_states = ("completed", "failed", "cancelled")
        open_jobs = [job for job in open_jobs if job.state not in final_states]
        time.sleep(0.2)


def count_violations(
    jobs: list[DemoJob], history: list[dict[str, Any]]
) -> dict[str, int]:
    """Counts violated invariants from the workers' history."""
    completed_tasks: dict[str, set[str]] = collections.defaultdict(set)
    completed_members: dict[tuple[str, int], int] = collections.Counter()
    started_jobs: set[str] = set()
    for event in history:
        job_id = event["task"].split(".", 1)[0]
        if event["event"] == "started":
            started_jobs.add(job_id)
        if event["event"] == "done":
            completed_tasks[job_id].add(event["task"])
            completed_members[job_id, event["run"]] += 1
    members = {job.job_id: job.members for job in jobs}
    partial_gang_count = sum(
        members.get(job_id, 0) > 1 and count != members[job_id]
        for (job_id, _), count in completed_members.items()
    )
    wrong_answer_count = 0
    for job in jobs:
        expected_task_count = sum(step["count"] for step in job.body["steps"])
        if job.state == "completed":
            wrong_answer_count += (
                len(completed_tasks[job.job_id]) != expected_task_count
            )
        refused = job.http_statuses and set(job.http_statuses) <= {429, 503}
        wrong_answer_count += bool(refused) and job.job_id in started_jobs
    return {
        "doubled": len(find_duplicate_runs(history)),
        "partial_gangs": partial_gang_count,
        "wrong_answers": wrong_answer_count,
    }


def print_outcomes(jobs: list[DemoJob]) -> None:
    """Prints the number of jobs by kind and state."""
    outcome_names = ("completed", "failed", "running", "queued", "")
    table = Table("kind", *(name or "refused" for name in outcome_names))
    for priority, kind in KIND_BY_PRIORITY.items():
        counts = collections.Counter(
            job.state for job in jobs if job.priority == priority
        )
        table.add_row(kind, *(str(counts[name]) for name in outcome_names))
    Console().print(table)


def main() -> int:
    """Runs the demo and returns the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-demo-"))
    rng = random.Random(SEED)
    jobs = [make_demo_job(rng) for _ in range(JOB_COUNT)]
    demo_started_s = time.monotonic()
    print(f"Starting 4 instances and 6 workers; logs in {folder}")
    with Site(SiteConfig(instance_count=4, worker_count=6), folder) as site:
        started_s = time.monotonic()
        failure_thread = threading.Thread(
            target=inject_failures, args=(site, started_s)
        )
        failure_thread.start()
        with ThreadPoolExecutor(16) as client_pool:
            for job in sorted(jobs, key=lambda job: job.job_id):
                at_s = started_s + rng.uniform(0, SUBMIT_WINDOW_S)
                client_pool.submit(submit_job, site, job, at_s)
        failure_thread.join()
        wait_for_final_states(site, jobs)
        history = site.read_worker_history()
    print_outcomes(jobs)
    counts = collections.Counter(job.state for job in jobs)
    summary = {
        "submitted": len(jobs),
        "completed": counts["completed"],
        "failed": counts["failed"] + counts["cancelled"],
        "unknown": counts["running"] + counts["queued"],
        **count_violations(jobs, history),
        "unanswered": sum(not any(job.http_statuses) for job in jobs),
        "seconds": round(time.monotonic() - demo_started_s, 1),
    }
    print(f"Explain a job: lagoonbeam explain {jobs[0].job_id} {folder}/n*.log")
    print(json.dumps(summary))
    return int(any(summary[name] for name in VIOLATION_KEYS))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
