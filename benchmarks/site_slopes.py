"""``make slopes-site``: how the cost of a site's decisions grows.

Fills a site of each size with running tasks and waiting jobs, and measures the
longest steps that hold the event loop: a plan in which nothing fits, a plan
that starts one job, the snapshot, and the fold of one end. Prints a row for
each size; the last line is one JSON object.
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

from benchmarks.site_scenes import SERVICE, make_kinds
from lagoonbeam.core.clock import Clock
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

SIZES = (24, 48, 176, 550, 1_100)
"""Workers; those of today, as played, of the grown sites, and of the goal."""
TASKS_A_WORKER = 4_100 / 1_100
WAITING_A_WORKER = 0.5
ORGANISATIONS = 180
REPEATS = 15


class Site:
    """A site of some size, full of work.

    Args:
        workers: How many.
    """

    def __init__(self, workers: int):
        decisions: Any = SimpleNamespace(emit=lambda *_, **__: None)
        self.state = SiteState()
        self.memory = PlannerState(decisions, clock=Clock())
        self.kinds = make_kinds(1.0)
        self.sessions: dict[str, Any] = {
            f"w{n:04}": SimpleNamespace(
                report=WorkerReport(
                    *(f"w{n:04}", 1, SERVICE, "", 0, "z1", False),
                    *(128_000, 512_000, 8, ("a", f"r{n // 8}")),
                ),
                dispatcher=SimpleNamespace(get_lost_work_s=lambda task: 3.0),
            )
            for n in range(workers)
        }
        names = [f"team{n}" for n in range(ORGANISATIONS)]
        self.configuration = Configuration(
            1,
            tuple(
                QueueRoute(k.policy, "h", f"/{k.policy.name}/")
                for k in self.kinds
            ),
            {name: Organisation(name, frozenset(), 4) for name in names},
        )
        self._names = names
        self._number = 0
        tasks = round(workers * TASKS_A_WORKER)
        hosts = list(self.sessions)
        for index in range(tasks):
            task_id = self.accept(1 + index % 2, Step(accelerators=2))
            place = Placement(task_id, 1, hosts[index % workers], 1)
            self.state.apply(RunsPlaced((place,)))
        for index in range(round(workers * WAITING_A_WORKER)):
            self.accept(index % 3, Step(count=2, accelerators=8, is_gang=True))
        self.tasks = tasks

    def accept(self, kind: int, step: Step) -> str:
        """Accepts a job; returns its first task."""
        self._number += 1
        job_id = f"{self._number:016x}"
        request = JobRequest(
            job_id,
            self.kinds[kind].policy,
            self._names[self._number % ORGANISATIONS],
            "x" * 100,
            (step,),
            time.time(),
        )
        self.state.apply(JobAccepted(request))
        return f"{job_id}.0.0.0"

    def plan(self) -> int:
        """Makes a plan; returns how many units it starts."""
        plan = make_plan(
            self.memory,
            self.state,
            self.sessions,
            self.sessions,
            self.configuration,
        )
        for unit, _ in plan.starts:
            self.memory.launching_assignments.pop(unit.key, None)
        self.memory.reserved_capacity.clear()
        return len(plan.starts)

    def end_one(self) -> None:
        """Folds the end of one run."""
        worker = next(
            name for name, t in self.state.tasks_by_worker.items() if t
        )
        task = next(iter(self.state.tasks_by_worker[worker].values()))
        end = RunEnd(task.task_id, task.run, RunEndReason.DONE)
        self.state.apply(RunsEnded((end,)))


def measure_ms(action: Callable[[], object]) -> tuple[float, float]:
    """Returns the median and the longest of some repeats."""
    taken = []
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        action()
        taken.append(1000 * (time.perf_counter() - began_s))
    return statistics.median(taken), max(taken)


def measure_site(workers: int) -> dict[str, float]:
    """Returns the measures of one size."""
    site = Site(workers)
    plan_ms, plan_max_ms = measure_ms(site.plan)
    snapshot_ms, _ = measure_ms(lambda: encode_state(site.state))
    fold_ms, _ = measure_ms(site.end_one)
    return {
        "workers": workers,
        "tasks": site.tasks,
        "plan_ms": round(plan_ms, 2),
        "plan_max_ms": round(plan_max_ms, 2),
        "snapshot_ms": round(snapshot_ms, 2),
        "snapshot_kb": round(len(encode_state(site.state)) / 1000, 1),
        "fold_ms": round(fold_ms, 4),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000,
    }


def main() -> None:
    """Measures all sizes and prints a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    sizes = [int(s) for s in parser.parse_args().sizes.split(",")]
    rows = [measure_site(size) for size in sizes]
    table = Table(*rows[0], box=None)
    for row in rows:
        table.add_row(*(f"{value:g}" for value in row.values()))
    Console(width=160).print(table)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
