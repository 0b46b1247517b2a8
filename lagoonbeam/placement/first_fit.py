"""The baseline: the first free slots, guarantees ignored."""

from __future__ import annotations

from itertools import islice

from lagoonbeam.core.cells import (
    RACK_SPAN,
    WORKER_SPAN,
    Cell,
    CellSpace,
    round_up,
)
from lagoonbeam.core.planned import Placement, PlannedJob, Standing
from lagoonbeam.core.pool import Pool
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
        pool: Pool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: Reach,
    ) -> Placement | None:
        """Knows no guarantees."""
        return None

    def place_free(
        self, pool: Pool, planned: PlannedJob, space: CellSpace
    ) -> Placement | None:
        """Takes the first cells in the order of racks and workers."""
        shape = planned.job.shape
        slots = round_up(pool.count_member_slots(shape))
        members = shape.members
        wanted = slots
        if shape.adjacency == "worker" and members > 1:
            wanted, members = round_up(slots * members), 1
        if wanted > WORKER_SPAN:
            return None
        found: list[Cell] = []
        for rack in pool.racks.values():
            if space.count_free_in_rack(rack) < min(wanted, RACK_SPAN):
                continue
            if shape.adjacency == "rack":
                found = []
            cells = exclude_workers(
                pool,
                space.iterate_rack(rack, wanted),
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
