"""Building gangs: of a new placement, or of what workers report."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from lagoonbeam.core.cells import Cell, round_up_to_power_of_two
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.worker_pool import PooledWorker
from lagoonbeam.endpoints.base import TaskOrder, TaskReport, TaskState
from lagoonbeam.errors import InvariantError
from lagoonbeam.scheduler.gangs import Annotation, Gang, Member
from lagoonbeam.types import WorkerName


def build_gang(
    planner: Planner, planned: PlannedJob, placement: Placement, attempt: str
) -> Gang:
    """Makes the orders of a gang that is to be launched.

    Args:
        planner: The zone's planner.
        planned: The job.
        placement: Its cells.
        attempt: Identifies the launch.
    """
    pool = planner.pools.get(accelerated=placement.accelerated)
    places = [pool.get_worker(cell) for cell in placement.cells]
    workers = tuple(place.shape.worker for place in places)
    job = planned.job
    members = []
    for index, (cell, place) in enumerate(
        zip(placement.cells, places, strict=True)
    ):
        owner = placement.members[index][1]
        bound_slots = owner.slots if owner else 0
        annotation = Annotation(
            job=job,
            standing=placement.standing.value,
            bound_slots=bound_slots,
            workers=workers,
        )
        order = TaskOrder(
            task_id=f"{job.job_id}/{attempt}/{index}",
            job_id=job.job_id,
            attempt=attempt,
            member=index,
            members=len(workers),
            first_slot=cell.start - place.first_slot,
            slots=cell.slots,
            payload=job.payload,
            annotation=msgspec.json.encode(annotation).decode(),
            resume_s=planned.checkpointed_s,
        )
        members.append(Member(place.shape.worker, order))
    return Gang(planned, attempt, members)


def read_annotation(report: TaskReport) -> Annotation | None:
    """Returns what the launching scheduler wrote, or None if unreadable."""
    try:
        return msgspec.json.decode(report.annotation, type=Annotation)
    except msgspec.MsgspecError:
        return None


def adopt_gang(
    planner: Planner,
    found: Sequence[tuple[WorkerName, TaskReport]],
    incarnations: Mapping[WorkerName, str],
) -> Gang | None:
    """Takes over a running gang from its workers' reports.

    Args:
        planner: The zone's planner.
        found: All reports of one launch, with their workers.
        incarnations: The workers' present processes.

    Returns:
        The gang, or None if members are missing, none runs or has ended by
        itself, or the cells are used otherwise.
    """
    reports = sorted(found, key=lambda each: each[1].member)
    first = reports[0][1]
    annotation = read_annotation(first)
    if annotation is None or len(reports) < first.members:
        return None
    states = {report.state for _, report in reports}
    idle = {TaskState.STOPPED, TaskState.LAPSED, TaskState.RESERVED}
    if states <= idle and not any(report.started for _, report in reports):
        return None
    placement = _find_placement(planner, annotation, reports)
    if placement is None:
        return None
    try:
        planned = planner.adopt(annotation.job, placement)
    except InvariantError:
        return None
    members = [
        Member(
            worker,
            _rebuild_order(report, annotation),
            incarnations.get(worker, ""),
            report,
        )
        for worker, report in reports
    ]
    started = TaskState.RESERVED not in states
    return Gang(
        planned, first.attempt, members, started=started, launching=False
    )


def _find_placement(
    planner: Planner,
    annotation: Annotation,
    reports: Sequence[tuple[WorkerName, TaskReport]],
) -> Placement | None:
    pool = planner.pools.find_pool(reports[0][0])
    if pool is None:
        return None
    cells = []
    for worker, report in reports:
        place = pool.workers.get(worker)
        if place is None:
            return None
        cells.append(_get_cell(place, report))
    annotations = [read_annotation(report) for _, report in reports]
    bound = [
        _get_bound(each, cell)
        for each, cell in zip(annotations, cells, strict=True)
    ]
    standing = Standing(annotation.standing)
    return Placement(pool.accelerated, tuple(cells), standing, tuple(bound))


def _get_cell(place: PooledWorker, report: TaskReport) -> Cell:
    return Cell(place.first_slot + report.first_slot, report.slots)


def _get_bound(annotation: Annotation | None, cell: Cell) -> Cell | None:
    slots = annotation.bound_slots if annotation else 0
    if not slots or slots != round_up_to_power_of_two(slots):
        return None
    return Cell(cell.start // slots * slots, slots)


def _rebuild_order(report: TaskReport, annotation: Annotation) -> TaskOrder:
    return TaskOrder(
        task_id=report.task_id,
        job_id=report.job_id,
        attempt=report.attempt,
        member=report.member,
        members=report.members,
        first_slot=report.first_slot,
        slots=report.slots,
        payload=annotation.job.payload,
        annotation=report.annotation,
    )
