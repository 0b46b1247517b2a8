"""Observed runs in blocks inside which workers are compared.

A block holds the runs of one step or, for steps that ran on one worker only,
those of a group of steps. All values are logarithms.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from lagoonbeam.site.records import RunKey
from lagoonbeam.site.worker_capacity import StepKey
from lagoonbeam.types import WorkerName

GroupKey = tuple[object, ...]
"""What steps have in common whose run times are compared."""

DECAY_S = 60.0
"""Time constant with which observations lose weight."""
SUCCESSOR_WEIGHT = 0.93
"""Weight that an observation keeps for each newer run on its worker."""
OUTLIER_LOG_PACE = 1.1
"""Log pace below that of its block at which a run counts as a long one."""
OUTLIER_STREAK = 5
"""Long runs in a row on a worker that tell of the worker."""
MIN_BLOCK_RUNS = 4
"""Runs in a block from which the long ones are told apart."""


@dataclass(slots=True)
class Observation:
    """Log paces of the runs of one step on one worker.

    Attributes:
        group: What the step is compared with; None for an estimate that no
            runs are kept of, which is relative to the usual worker.
        step: The step.
        updated_at_s: Monotonic time of the newest change.
        log_paces: The log pace of each run.
    """

    group: GroupKey | None
    step: StepKey | None
    updated_at_s: float
    log_paces: dict[RunKey, float] = field(default_factory=dict)

    def shift(self, difference: float) -> None:
        """Adds a difference to all log paces."""
        for run_key in self.log_paces:
            self.log_paces[run_key] += difference


@dataclass(slots=True)
class Cell:
    """Runs of one block on one worker.

    Attributes:
        values: Log paces of runs or, in a group's block, of steps.
        weight: Weight by age.
        mean: Mean of the values that are no outliers.
        count: Number of these values.
    """

    values: list[float] = field(default_factory=list)
    weight: float = 0.0
    mean: float = 0.0
    count: int = 0


@dataclass(slots=True)
class Block:
    """Runs that are compared with each other, by worker.

    Attributes:
        is_step: Whether they are of one step.
        cells: The runs on each worker.
    """

    is_step: bool
    cells: dict[WorkerName, Cell] = field(default_factory=dict)


def weigh_age(item: Observation, now_s: float) -> float:
    """Returns the weight of an observation by its age."""
    return math.exp(-max(0.0, now_s - item.updated_at_s) / DECAY_S)


def make_blocks(
    observations: Mapping[WorkerName, Sequence[Observation]], now_s: float
) -> list[Block]:
    """Sorts observations into blocks.

    Args:
        observations: For each worker, oldest first.
        now_s: Monotonic time.
    """
    workers_by_step: dict[StepKey | None, int] = defaultdict(int)
    for items in observations.values():
        for item in items:
            workers_by_step[item.step] += 1
    blocks: dict[tuple[object, ...], Block] = {}
    for worker, items in observations.items():
        successors = 0
        for item in reversed(items):
            if item.group is None or item.step is None or not item.log_paces:
                continue
            is_step = workers_by_step[item.step] > 1
            block = blocks.setdefault(
                item.step if is_step else item.group, Block(is_step)
            )
            cell = block.cells.setdefault(worker, Cell())
            weight = weigh_age(item, now_s) * SUCCESSOR_WEIGHT**successors
            cell.weight = max(cell.weight, weight)
            paces = list(item.log_paces.values())
            successors += len(paces)
            cell.values.extend(paces if is_step else [statistics.median(paces)])
    return list(blocks.values())


def _iterate_relative_paces(
    block: Block, log_speeds: Mapping[WorkerName, float]
) -> Iterator[tuple[WorkerName, list[float]]]:
    """Yields the log paces on each worker, relative to the block's median."""
    relative = {
        worker: [value - log_speeds.get(worker, 0.0) for value in cell.values]
        for worker, cell in block.cells.items()
    }
    values = [value for items in relative.values() for value in items]
    if len(values) < MIN_BLOCK_RUNS:
        return
    center = statistics.median(values)
    for worker, items in relative.items():
        yield worker, [value - center for value in items]


def find_slow_workers(
    blocks: Iterable[Block], log_speeds: Mapping[WorkerName, float]
) -> set[WorkerName]:
    """Returns the workers that have only long runs, which tell of them."""
    paces: dict[WorkerName, list[float]] = defaultdict(list)
    for block in blocks:
        for worker, items in _iterate_relative_paces(block, log_speeds):
            paces[worker].extend(items)
    return {
        worker
        for worker, items in paces.items()
        if len(items) >= OUTLIER_STREAK and max(items) < -OUTLIER_LOG_PACE
    }


def drop_outliers(
    blocks: Iterable[Block],
    log_speeds: Mapping[WorkerName, float],
    slow_workers: set[WorkerName],
) -> None:
    """Leaves out runs that take many times as long as others of their block."""
    for block in blocks:
        relative = dict(_iterate_relative_paces(block, log_speeds))
        for worker, cell in block.cells.items():
            if worker not in slow_workers and worker in relative:
                cell.values = [
                    value
                    for value, distance in zip(
                        cell.values, relative[worker], strict=True
                    )
                    if distance >= -OUTLIER_LOG_PACE
                ]
            cell.count = len(cell.values)
            cell.mean = statistics.fmean(cell.values) if cell.values else 0.0
        block.cells = {
            worker: cell for worker, cell in block.cells.items() if cell.count
        }
