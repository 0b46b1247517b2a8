"""Claims on guaranteed and unclaimed cells that a placement needs."""

from __future__ import annotations

from lagoonbeam.core.cells import Cell
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planned_job import Placement, Standing
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.errors import CellAllocationError, InvariantError
from lagoonbeam.types import OrganisationName


def acquire_claims(
    pool: WorkerPool, organisation: OrganisationName, placement: Placement
) -> None:
    """Acquires all claims that a placement needs.

    Args:
        pool: The pool of the placement.
        organisation: The organisation whose guarantee is used.
        placement: The placement.

    Raises:
        InvariantError: If a claim is not possible; none is kept then.
    """
    acquired: list[tuple[Cell, Cell | None]] = []
    try:
        for cell, guaranteed_cell in placement.members:
            if guaranteed_cell is not None:
                _allocate_in_bound_cell(
                    pool, organisation, cell, guaranteed_cell
                )
            elif placement.standing is Standing.EXCLUSIVE:
                pool.guarantee_tracker.claim(cell)
            else:
                continue
            acquired.append((cell, guaranteed_cell))
    except InvariantError:
        for cell, guaranteed_cell in acquired:
            if guaranteed_cell is not None:
                _release_in_bound_cell(
                    pool, organisation, cell, guaranteed_cell
                )
            else:
                pool.guarantee_tracker.release(cell)
        raise


def release_claims(
    pool: WorkerPool, organisation: OrganisationName, placement: Placement
) -> None:
    """Releases the claims acquired by `acquire_claims`."""
    for cell, guaranteed_cell in placement.members:
        if guaranteed_cell is not None:
            _release_in_bound_cell(pool, organisation, cell, guaranteed_cell)
        elif placement.standing is Standing.EXCLUSIVE:
            pool.guarantee_tracker.release(cell)
            pool.remove_unavailable_slots(cell)


def adopt_claims(pool: WorkerPool, job: Job, placement: Placement) -> Placement:
    """Claims the cells of a running gang as far as the rules allow.

    Returns:
        The placement; its standing changes if its claims are not possible.

    Raises:
        CellAllocationError: If the job cannot be stopped and its cells are
            claimed by others.
    """
    try:
        acquire_claims(pool, job.organisation, placement)
        return placement
    except InvariantError:
        pass
    accelerated, cells = placement.accelerated, placement.cells
    if job.stoppable:
        return Placement(accelerated, cells, Standing.LENT)
    if not all(
        pool.guarantee_tracker.unclaimed.is_free(cell) for cell in cells
    ):
        raise CellAllocationError(f"cells of {job.job_id} are claimed")
    for cell in cells:
        pool.guarantee_tracker.claim_unconditionally(cell)
    return Placement(accelerated, cells, Standing.EXCLUSIVE)


def _allocate_in_bound_cell(
    pool: WorkerPool,
    organisation: OrganisationName,
    cell: Cell,
    guaranteed_cell: Cell,
) -> None:
    if pool.guarantee_tracker.is_bound(organisation, guaranteed_cell):
        bound_cell = pool.guarantee_tracker.get_bound_cell(
            organisation, guaranteed_cell
        )
    else:
        bound_cell = pool.guarantee_tracker.bind(organisation, guaranteed_cell)
    bound_cell.free.allocate(cell)


def _release_in_bound_cell(
    pool: WorkerPool,
    organisation: OrganisationName,
    cell: Cell,
    guaranteed_cell: Cell,
) -> None:
    bound_cell = pool.guarantee_tracker.get_bound_cell(
        organisation, guaranteed_cell
    )
    bound_cell.free.release(cell)
    if bound_cell.is_idle:
        pool.guarantee_tracker.unbind(bound_cell)
        pool.remove_unavailable_slots(guaranteed_cell)
