"""Builds gangs from new placements or from the task reports of workers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from lagoonbeam.core.cells import Cell, round_up_to_power_of_two
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.worker_pool import PooledWorker
from lagoonbeam.endpoints.base import TaskOrder, TaskReport, TaskState
from lagoonbeam.errors import InvariantError, MalformedDataError
from lagoonbeam.scheduler.gangs import Gang, GangMember, TaskAnnotation
from lagoonbeam.types import WorkerName


def build_gang(
    planner: Planner, planned: PlannedJob, placement: Placement, attempt: str
) -> Gang:
    """Builds a gang, with the task orders of its members, for a launch.

    Args:
        planner: Planner of the zone.
        planned: The job to launch.
        placement: The cells of its members.
        attempt: Identifier of the launch.
    """
    pool = planner.pools.get(accelerated=placement.accelerated)
    pooled_workers = [pool.get_worker(cell) for cell in placement.cells]
    workers = tuple(
        pooled_worker.shape.worker for pooled_worker in pooled_workers
    )
    job = planned.job
    members = []
    for index, (cell, pooled_worker) in enumerate(
        zip(placement.cells, pooled_workers, strict=True)
    ):
        bound_cell = placement.members[index][1]
        bound_slots = bound_cell.slots if bound_cell else 0
        annotation = TaskAnnotation(
            job=job,
            standing=placement.standing.value,
            bound_slots=bound_slots,
            workers=workers,
        )
        task_order = TaskOrder(
            task_id=f"{job.job_id}/{attempt}/{index}",
            job_id=job.job_id,
            attempt=attempt,
            member=index,
            members=len(workers),
            first_slot=cell.start - pooled_worker.first_slot,
            slots=cell.slots,
            payload=job.payload,
            annotation=msgspec.json.encode(annotation).decode(),
            resume_s=planned.checkpointed_s,
        )
        members.append(GangMember(pooled_worker.shape.worker, task_order))
    return Gang(planned, attempt, members)


def decode_annotation(report: TaskReport) -> TaskAnnotation | None:
    """Returns the annotation of a task, or None if it cannot be decoded."""
    try:
        return decode_json(report.annotation, TaskAnnotation)
    except MalformedDataError:
        return None


def adopt_gang(
    planner: Planner,
    reports_found: Sequence[tuple[WorkerName, TaskReport]],
    incarnations: Mapping[WorkerName, str],
) -> Gang | None:
    """Rebuilds a gang that an earlier term launched from its task reports.

    Args:
        planner: Planner of the zone; the adopted gang occupies its cells.
        reports_found: All task reports of one launch, with their workers.
        incarnations: Current incarnation of each worker.

    Returns:
        The gang, or None if reports of members are missing, if no member was
        ever started, or if its cells are unknown or occupied by others.
    """
    reports = sorted(reports_found, key=lambda found: found[1].member)
    first_report = reports[0][1]
    annotation = decode_annotation(first_report)
    if annotation is None or len(reports) < first_report.members:
        return None
    states = {report.state for _, report in reports}
    unstarted_states = {TaskState.STOPPED, TaskState.LAPSED, TaskState.RESERVED}
    if states <= unstarted_states and not any(
        report.started for _, report in reports
    ):
        return None
    placement = _find_placement(planner, annotation, reports)
    if placement is None:
        return None
    try:
        planned = planner.adopt(annotation.job, placement)
    except InvariantError:
        return None
    members = [
        GangMember(
            worker,
            _rebuild_order(report, annotation),
            incarnations.get(worker, ""),
            report,
        )
        for worker, report in reports
    ]
    started = TaskState.RESERVED not in states
    return Gang(
        planned,
        first_report.attempt,
        members,
        started=started,
        launching=False,
    )


def _find_placement(
    planner: Planner,
    annotation: TaskAnnotation,
    reports: Sequence[tuple[WorkerName, TaskReport]],
) -> Placement | None:
    pool = planner.pools.find_pool(reports[0][0])
    if pool is None:
        return None
    cells = []
    for worker, report in reports:
        pooled_worker = pool.workers.get(worker)
        if pooled_worker is None:
            return None
        cells.append(_get_member_cell(pooled_worker, report))
    annotations = [decode_annotation(report) for _, report in reports]
    bound_cells = [
        _get_bound_cell(member_annotation, cell)
        for member_annotation, cell in zip(annotations, cells, strict=True)
    ]
    standing = Standing(annotation.standing)
    return Placement(
        pool.accelerated, tuple(cells), standing, tuple(bound_cells)
    )


def _get_member_cell(pooled_worker: PooledWorker, report: TaskReport) -> Cell:
    return Cell(pooled_worker.first_slot + report.first_slot, report.slots)


def _get_bound_cell(
    annotation: TaskAnnotation | None, cell: Cell
) -> Cell | None:
    slots = annotation.bound_slots if annotation else 0
    if not slots or slots != round_up_to_power_of_two(slots):
        return None
    return Cell(cell.start // slots * slots, slots)


def _rebuild_order(report: TaskReport, annotation: TaskAnnotation) -> TaskOrder:
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
