"""``make slopes-site``: cost of a site's decisions by number of workers.

Fills a site of each size with running tasks and waiting jobs, and measures the
operations that block the event loop for longest: a plan, the encoding of a
snapshot, and the application of one run's end to the state. Prints a row for
each size; the last line of the output is one JSON array.
"""

from __future__ import annotations

import argparse
import json
import resource
import statistics
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks.site_scenes import SERVICE_NAME, make_job_kinds
from lagoonbeam.core.clock import Clock
from lagoonbeam.site.metrics import Metrics
from lagoonbeam.site.model import (
    Configuration,
    JobRequest,
    Organisation,
    QueueRoute,
    RunEndReason,
    Step,
    WorkerReport,
)
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import (
    JobAccepted,
    Placement,
    RunEnd,
    RunsEnded,
    RunsPlaced,
)
from lagoonbeam.site.snapshot import encode_state
from lagoonbeam.site.state import SiteState

WORKER_COUNTS = (24, 48, 176, 550, 1_100)
"""Numbers of workers: current deployments, grown sites and the target size."""
TASKS_PER_WORKER = 4_100 / 1_100
WAITING_JOBS_PER_WORKER = 0.5
ORGANISATION_COUNT = 180
REPEATS = 15


class LoadedSite:
    """A site with running tasks and waiting jobs.

    Args:
        worker_count: Number of workers.
    """

    def __init__(self, worker_count: int):
        decisions: Any = SimpleNamespace(
            emit=lambda *_, **__: None, metrics=Metrics()
        )
        self.state = SiteState()
        self.planner_state = PlannerState(decisions, clock=Clock())
        self.kinds = make_job_kinds(1.0)
        self.sessions: dict[str, Any] = {
            f"w{number:04}": SimpleNamespace(
                report=WorkerReport(
                    *(f"w{number:04}", 1, SERVICE_NAME, "", 0, "z1", False),
                    *(128_000, 512_000, 8, ("a", f"r{number // 8}")),
                ),
                dispatcher=SimpleNamespace(get_lost_work_s=lambda task: 3.0),
            )
            for number in range(worker_count)
        }
        organisation_names = [
            f"team{number}" for number in range(ORGANISATION_COUNT)
        ]
        self.configuration = Configuration(
            1,
            tuple(
                QueueRoute(kind.policy, "h", f"/{kind.policy.name}/")
                for kind in self.kinds
            ),
            {
                name: Organisation(name, frozenset(), 4)
                for name in organisation_names
            },
        )
        self._organisation_names = organisation_names
        self._job_count = 0
        task_count = round(worker_count * TASKS_PER_WORKER)
        worker_names = list(self.sessions)
        for index in range(task_count):
            task_id = self.accept_job(1 + index % 2, Step(accelerators=2))
            placement = Placement(
                task_id, 1, worker_names[index % worker_count], 1
            )
            self.state.apply(RunsPlaced((placement,)))
        for index in range(round(worker_count * WAITING_JOBS_PER_WORKER)):
            self.accept_job(
                index % 3, Step(count=2, accelerators=8, is_gang=True)
            )
        self.task_count = task_count

    def accept_job(self, kind: int, step: Step) -> str:
        """Accepts a job and returns the identifier of its first task."""
        self._job_count += 1
        job_id = f"{self._job_count:016x}"
        request = JobRequest(
            job_id,
            self.kinds[kind].policy,
            self._organisation_names[self._job_count % ORGANISATION_COUNT],
            "x" * 100,
            (step,),
            time.time(),
        )
        self.state.apply(JobAccepted(request))
        return f"{job_id}.0.0.0"

    def plan(self) -> int:
        """Makes a plan and returns the number of units that it starts.

        Releases the capacity that the plan reserves, so that a repeated call
        has the same input.
        """
        plan = make_plan(
            self.planner_state,
            self.state,
            self.sessions,
            self.sessions,
            self.configuration,
        )
        for unit, _ in plan.starts:
            self.planner_state.launching_assignments.pop(unit.key, None)
        self.planner_state.reserved_capacity.clear()
        return len(plan.starts)

    def end_first_run(self) -> None:
        """Applies the end of one running task to the state."""
        worker = next(
            name for name, tasks in self.state.tasks_by_worker.items() if tasks
        )
        task = next(iter(self.state.tasks_by_worker[worker].values()))
        end = RunEnd(task.task_id, task.run, RunEndReason.DONE)
        self.state.apply(RunsEnded((end,)))


def time_action_ms(action: Callable[[], object]) -> tuple[float, float]:
    """Returns the median and the maximum duration over `REPEATS` calls."""
    durations_ms = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        action()
        durations_ms.append(1000 * (time.perf_counter() - started_s))
    return statistics.median(durations_ms), max(durations_ms)


def measure_site_size(worker_count: int) -> dict[str, float]:
    """Returns the measurements of a site with this number of workers."""
    site = LoadedSite(worker_count)
    plan_ms, plan_max_ms = time_action_ms(site.plan)
    snapshot_ms, _ = time_action_ms(lambda: encode_state(site.state))
    fold_ms, _ = time_action_ms(site.end_first_run)
    return {
        "workers": worker_count,
        "tasks": site.task_count,
        "plan_ms": round(plan_ms, 2),
        "plan_max_ms": round(plan_max_ms, 2),
        "snapshot_ms": round(snapshot_ms, 2),
        "snapshot_kb": round(len(encode_state(site.state)) / 1000, 1),
        "fold_ms": round(fold_ms, 4),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000,
    }


def main() -> None:
    """Measures the selected sizes and prints a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, WORKER_COUNTS)))
    sizes = [int(s) for s in parser.parse_args().sizes.split(",")]
    rows = [measure_site_size(size) for size in sizes]
    table = Table(*rows[0], box=None)
    for row in rows:
        table.add_row(*(f"{value:g}" for value in row.values()))
    Console(width=160).print(table)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
