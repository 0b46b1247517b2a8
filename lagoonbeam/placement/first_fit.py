"""First fit without guarantees; a baseline for comparison."""

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
    PLACEMENT_POLICIES,
    GuaranteeReach,
    PlacementPolicy,
    exclude_workers,
)
from lagoonbeam.placement.cells import split_cell
from lagoonbeam.preemption.base import PreemptionPolicy


@PLACEMENT_POLICIES.register("first_fit")
class FirstFitPlacement(PlacementPolicy):
    """Places members on the lowest-numbered free cells."""

    honours_guarantees = False

    def place_guaranteed(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: GuaranteeReach,
    ) -> Placement | None:
        """Returns None, as guarantees are ignored."""
        return None

    def place_free(
        self, pool: WorkerPool, planned: PlannedJob, free_list: BuddyFreeList
    ) -> Placement | None:
        """Returns the first free cells in the order of racks and workers."""
        shape = planned.job.shape
        slots = round_up_to_power_of_two(pool.count_member_slots(shape))
        members = shape.members
        cell_slots = slots
        if shape.adjacency == "worker" and members > 1:
            cell_slots, members = round_up_to_power_of_two(slots * members), 1
        if cell_slots > WORKER_SPAN_SLOTS:
            return None
        found: list[Cell] = []
        for rack in pool.rack_indices.values():
            if free_list.count_free_in_rack(rack) < min(
                cell_slots, RACK_SPAN_SLOTS
            ):
                continue
            if shape.adjacency == "rack":
                found = []
            cells = exclude_workers(
                pool,
                free_list.iterate_free_cells_in_rack(rack, cell_slots),
                planned.excluded_workers,
            )
            found += islice(cells, members - len(found))
            if len(found) == members:
                break
        if len(found) < members:
            return None
        if cell_slots != slots:
            found = split_cell(found[0], slots, shape.members)
        return Placement(pool.accelerated, tuple(found), Standing.LENT)
