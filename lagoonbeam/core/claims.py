"""Claiming what a placement needs of the guarantees' slots."""

from __future__ import annotations

from lagoonbeam.core.cells import Cell
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planned import Placement, Standing
from lagoonbeam.core.pool import Pool
from lagoonbeam.errors import CellAllocationError, InvariantError
from lagoonbeam.types import OrganisationName


def take_claims(
    pool: Pool, organisation: OrganisationName, placement: Placement
) -> None:
    """Claims what a placement needs.

    Args:
        pool: The placement's pool.
        organisation: Whose guarantee is used.
        placement: The placement.

    Raises:
        InvariantError: If it cannot be had; nothing is claimed then.
    """
    taken: list[tuple[Cell, Cell | None]] = []
    try:
        for cell, owner in placement.members:
            if owner is not None:
                _take_bound(pool, organisation, cell, owner)
            elif placement.standing is Standing.EXCLUSIVE:
                pool.book.claim(cell)
            else:
                continue
            taken.append((cell, owner))
    except InvariantError:
        for cell, owner in taken:
            if owner is not None:
                _release_bound(pool, organisation, cell, owner)
            else:
                pool.book.release(cell)
        raise


def release_claims(
    pool: Pool, organisation: OrganisationName, placement: Placement
) -> None:
    """Gives up what `take_claims` took."""
    for cell, owner in placement.members:
        if owner is not None:
            _release_bound(pool, organisation, cell, owner)
        elif placement.standing is Standing.EXCLUSIVE:
            pool.book.release(cell)
            pool.claim_released(cell)


def adopt_claims(pool: Pool, job: Job, placement: Placement) -> Placement:
    """Claims a running gang's cells as far as the rules allow.

    Returns:
        The placement, with the standing that it could keep.

    Raises:
        CellAllocationError: If its work cannot be stopped and others claim
            its cells.
    """
    try:
        take_claims(pool, job.organisation, placement)
        return placement
    except InvariantError:
        pass
    accelerated, cells = placement.accelerated, placement.cells
    if job.stoppable:
        return Placement(accelerated, cells, Standing.LENT)
    if not all(pool.book.unclaimed.is_free(cell) for cell in cells):
        raise CellAllocationError(f"cells of {job.job_id} are claimed")
    for cell in cells:
        pool.book.claim_occupied(cell)
    return Placement(accelerated, cells, Standing.EXCLUSIVE)


def _take_bound(
    pool: Pool, organisation: OrganisationName, cell: Cell, owner: Cell
) -> None:
    if pool.book.is_bound(organisation, owner):
        bound = pool.book.get_bound(organisation, owner)
    else:
        bound = pool.book.bind(organisation, owner)
    bound.room.take(cell)


def _release_bound(
    pool: Pool, organisation: OrganisationName, cell: Cell, owner: Cell
) -> None:
    bound = pool.book.get_bound(organisation, owner)
    bound.room.release(cell)
    if bound.is_idle:
        pool.book.unbind(bound)
        pool.claim_released(owner)
