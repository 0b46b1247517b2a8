"""The baseline: the first free slots, guarantees ignored."""

from __future__ import annotations

from itertools import islice

from lagoonbeam.core.cells import (
    RACK_SPAN_SLOTS,
    WORKER_SPAN_SLOTS,
    BuddyFreeList,
    Cell,
    round_up_to_power_of_two,
)
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.placement.base import (
    PLACEMENTS,
    PlacementPolicy,
    Reach,
    exclude_workers,
)
from lagoonbeam.placement.cells import split_cell
from lagoonbeam.preemption.base import PreemptionPolicy


@PLACEMENTS.register("first_fit")
class FirstFitPlacement(PlacementPolicy):
    """Uses the lowest-numbered free cells."""

    honours_guarantees = False

    def place_guaranteed(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: Reach,
    ) -> Placement | None:
        """Knows no guarantees."""
        return None

    def place_free(
        self, pool: WorkerPool, planned: PlannedJob, space: BuddyFreeList
    ) -> Placement | None:
        """Takes the first cells in the order of racks and workers."""
        shape = planned.job.shape
        slots = round_up_to_power_of_two(pool.count_member_slots(shape))
        members = shape.members
        wanted = slots
        if shape.adjacency == "worker" and members > 1:
            wanted, members = round_up_to_power_of_two(slots * members), 1
        if wanted > WORKER_SPAN_SLOTS:
            return None
        found: list[Cell] = []
        for rack in pool.rack_indices.values():
            if space.count_free_in_rack(rack) < min(wanted, RACK_SPAN_SLOTS):
                continue
            if shape.adjacency == "rack":
                found = []
            cells = exclude_workers(
                pool,
                space.iterate_free_cells_in_rack(rack, wanted),
                planned.excluded_workers,
            )
            found += islice(cells, members - len(found))
            if len(found) == members:
                break
        if len(found) < members:
            return None
        if wanted != slots:
            found = split_cell(found[0], slots, shape.members)
        return Placement(pool.accelerated, tuple(found), Standing.LENT)
