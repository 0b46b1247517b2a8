"""A load of batch steps on workers of given speeds, in virtual time.

Steps come at random times; their tasks go to workers with free accelerators.
Tasks of one step differ, and a few take many times as long.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import Step
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.worker_speeds import WorkerSpeeds
from tests.site.builders import accept_job, make_job

TICK_S = 0.1
POLL_S = 1.0
ACCELERATORS = 8


@dataclass(slots=True)
class LoadedRun:
    """One run: its task, its begin, and its run time."""

    task: Task
    started_s: float
    run_s: float


@dataclass(slots=True)
class SpeedLoad:
    """A load of steps.

    Attributes:
        speeds: Speed of each worker.
        seed: Seed of the random choices.
        steps_per_s: Rate of the steps.
        tasks: Number of tasks of a step.
        run_s: Median run time of all tasks.
        step_spread: Spread of the steps' run times (logarithmic).
        task_spread: Spread of the tasks of a step (logarithmic).
        tasks_per_worker: Tasks of a step that go to one worker.
        long_share: Share of tasks that take 7 times as long.
    """

    speeds: dict[str, float]
    seed: int
    steps_per_s: float = 1.2
    tasks: int = 39
    run_s: float = 5.2
    step_spread: float = 0.3
    task_spread: float = 0.19
    tasks_per_worker: int = 8
    long_share: float = 0.03

    def play(
        self,
        worker_speeds: WorkerSpeeds,
        duration_s: float,
        on_tick: Callable[[float], None] = lambda now_s: None,
        *,
        start_s: float = 0.0,
    ) -> None:
        """Plays the load, and reports its progress and ends."""
        chance = random.Random(self.seed)
        running: dict[str, list[LoadedRun]] = {name: [] for name in self.speeds}
        poll_offset = {
            name: chance.randrange(round(POLL_S / TICK_S))
            for name in self.speeds
        }
        next_step_s = start_s
        for tick in range(1, round(duration_s / TICK_S) + 1):
            now_s = start_s + tick * TICK_S
            while next_step_s <= now_s:
                self._start_step(chance, running, now_s, next_step_s)
                next_step_s += chance.expovariate(self.steps_per_s)
            for worker, runs in running.items():
                is_polled = (tick + poll_offset[worker]) % round(
                    POLL_S / TICK_S
                ) == 0
                running[worker] = [
                    run
                    for run in runs
                    if not report(worker_speeds, worker, run, now_s, is_polled)
                ]
            worker_speeds.update(now_s)
            on_tick(now_s)

    def _start_step(
        self,
        chance: random.Random,
        running: Mapping[str, list[LoadedRun]],
        now_s: float,
        key_s: float,
    ) -> None:
        units = accept_job(
            SiteState(), make_job(f"j{key_s}", Step(count=self.tasks))
        )
        step_s = self.run_s * math.exp(chance.gauss(0, self.step_spread))
        slots = [
            worker
            for worker in chance.sample(list(running), len(running))
            for _ in range(
                min(self.tasks_per_worker, ACCELERATORS - len(running[worker]))
            )
        ]
        for unit, worker in zip(units, slots, strict=False):
            run_s = step_s * math.exp(chance.gauss(0, self.task_spread))
            if chance.random() < self.long_share:
                run_s *= 7
            unit.tasks[0].run = 1
            running[worker].append(
                LoadedRun(unit.tasks[0], now_s, run_s / self.speeds[worker])
            )


def report(
    worker_speeds: WorkerSpeeds,
    worker: str,
    run: LoadedRun,
    now_s: float,
    is_polled: bool,
) -> bool:
    """Reports a run; returns whether it has ended."""
    elapsed_s = now_s - run.started_s
    if elapsed_s >= run.run_s:
        worker_speeds.record_run(worker, run.task, run.run_s, now_s)
        return True
    percent = int(100 * elapsed_s / run.run_s)
    if is_polled and percent >= 3 and elapsed_s >= 0.5:
        full_run_s = elapsed_s * 100 / (percent + 0.5)
        worker_speeds.record_run(worker, run.task, full_run_s, now_s)
    return False
