"""Encoding of state snapshots, which allow the journal to be truncated."""

from __future__ import annotations

import msgspec

from lagoonbeam.errors import MalformedDataError
from lagoonbeam.site.job_scope import JobScope
from lagoonbeam.site.jobs import JobSummary, PlacementUnit, SiteJob
from lagoonbeam.site.late_starts.late_start_index import LateStart
from lagoonbeam.site.model import JobRequest, JobState
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    MachineMoved,
    Placement,
    SpeedsEstimated,
    TermClaimed,
    WaveBegun,
)
from lagoonbeam.site.state import SiteState


class _StoredUnit(msgspec.Struct, array_like=True, omit_defaults=True):
    """A unit that was ever started; others are rebuilt from the request.

    Attributes:
        occurrence: Index of the occurrence.
        step_index: Index of the step.
        position: Index of the unit inside the step.
        runs: Number of the latest run of each task.
        placements: Placements of runs that may exist.
        failures: Number of failed runs.
        checkpoint: Newest known checkpoint.
        is_done: Whether all of its work is done.
        last_failed_run: Number of the last failed run.
        last_aborted_run: Number of the last run in which a task never
            started.
    """

    occurrence: int
    step_index: int
    position: int
    runs: tuple[int, ...]
    placements: tuple[Placement, ...] = ()
    failures: int = 0
    checkpoint: str = ""
    is_done: bool = False
    last_failed_run: int = 0
    last_aborted_run: int = 0


class _StoredJob(msgspec.Struct, array_like=True):
    """A job.

    Attributes:
        request: What was accepted.
        state: Its state.
        may_have_run: Whether it is not certain that no task ever ran.
        units: Units that were ever started.
        summary: Progress of a job whose units were dropped.
        end_position: Position in the order of ends; -1 for an open job, and
            in snapshots of earlier versions.
        has_begun: Whether a worker has begun a task; None in snapshots of
            earlier versions, whose `may_have_run` is set once it was placed.
    """

    request: JobRequest
    state: JobState
    may_have_run: bool
    units: tuple[_StoredUnit, ...]
    summary: JobSummary | None = None
    end_position: int = -1
    has_begun: bool | None = None


class _StoredWave(msgspec.Struct, array_like=True):
    number: int
    begun_at_s: float
    serviced: tuple[str, ...]
    ordered: tuple[str, ...] = ()


class _StoredState(msgspec.Struct):
    term: tuple[int, str, str, bool]
    instances: tuple[InstanceJoined, ...]
    jobs: tuple[_StoredJob, ...]
    waves: tuple[_StoredWave, ...] = ()
    completed_waves: tuple[int, ...] = ()
    lent_machines: tuple[MachineMoved, ...] = ()
    lease_terms: dict[str, int] = {}
    renewal_count: int = 0
    renewals_at_claim: dict[int, int] = {}
    cancelled_ids: tuple[str, ...] = ()
    speed_estimates: SpeedsEstimated = SpeedsEstimated()
    late_starts: tuple[LateStart, ...] = ()
    cancelled_scopes: dict[str, tuple[JobScope, ...]] = {}


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredState)


def encode_state(state: SiteState) -> bytes:
    """Encodes a state."""
    term = state.term
    end_positions = state.get_end_positions()
    return _ENCODER.encode(
        _StoredState(
            (term.number, term.instance, term.incarnation, term.is_resigned),
            tuple(state.instances.values()),
            tuple(
                _encode_job(job, end_positions.get(job.request.job_id, -1))
                for job in state.jobs.values()
            ),
            tuple(
                _StoredWave(
                    number,
                    wave.begun_at_s,
                    tuple(sorted(wave.serviced)),
                    tuple(sorted(wave.ordered)),
                )
                for number, wave in state.waves.items()
            ),
            tuple(sorted(state.completed_waves)),
            tuple(
                MachineMoved(name, loan.pool, loan.home)
                for name, loan in state.lent_machines.items()
            ),
            state.lease_terms,
            state.renewal_count,
            state.renewals_at_claim,
            tuple(state.cancelled_scopes),
            SpeedsEstimated(
                state.speed_estimates.speeds, state.speed_estimates.run_times_s
            ),
            tuple(state.late_starts),
            state.cancelled_scopes,
        )
    )


def decode_state(data: bytes) -> SiteState:
    """Decodes a state.

    Raises:
        MalformedDataError: If the data is no valid snapshot.
    """
    try:
        stored = _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedDataError(f"snapshot: {error}") from error
    state = SiteState()
    for instance in stored.instances:
        state.apply(instance)
    number, instance_name, incarnation, is_resigned = stored.term
    state.apply(TermClaimed(number, instance_name, incarnation))
    state.term.is_resigned = is_resigned
    for job in stored.jobs:
        _decode_job(state, job)
    state.sort_ended_jobs(
        {job.request.job_id: job.end_position for job in stored.jobs}
    )
    for wave in stored.waves:
        state.apply(WaveBegun(wave.number, wave.begun_at_s))
        state.waves[wave.number].serviced.update(wave.serviced)
        state.waves[wave.number].ordered.update(wave.ordered)
    state.completed_waves.update(stored.completed_waves)
    for machine_move in stored.lent_machines:
        state.apply(machine_move)
    state.lease_terms.update(stored.lease_terms)
    state.renewal_count = stored.renewal_count
    state.renewals_at_claim = dict(stored.renewals_at_claim)
    # Snapshots of earlier versions name no scopes.
    state.cancelled_scopes = {
        job_id: stored.cancelled_scopes.get(job_id, (JobScope(),))
        for job_id in stored.cancelled_ids
    }
    state.apply(stored.speed_estimates)
    for late_start in stored.late_starts:
        state.late_starts.add(late_start)
    return state


def _encode_job(job: SiteJob, end_position: int) -> _StoredJob:
    units = tuple(
        _encode_unit(unit, position)
        for step_units in job.units.values()
        for position, unit in enumerate(step_units)
        if unit.is_done or any(task.run for task in unit.tasks)
    )
    return _StoredJob(
        job.request,
        job.state,
        job.may_have_run,
        units,
        job.summary,
        end_position,
        job.has_begun,
    )


def _encode_unit(unit: PlacementUnit, position: int) -> _StoredUnit:
    return _StoredUnit(
        unit.occurrence,
        unit.step_index,
        position,
        tuple(task.run for task in unit.tasks),
        tuple(task.placement for task in unit.tasks if task.placement),
        unit.failures,
        unit.checkpoint,
        unit.is_done,
        unit.last_failed_run,
        unit.last_aborted_run,
    )


def _decode_job(state: SiteState, stored: _StoredJob) -> None:
    if stored.summary is not None:
        job = SiteJob(stored.request, state=stored.state)
        _decode_begin(job, stored)
        job.summary = stored.summary
        state.add_compacted_job(job)
        return
    state.apply(JobAccepted(stored.request))
    job = state.jobs[stored.request.job_id]
    _decode_begin(job, stored)
    for stored_unit in stored.units:
        unit = job.units[stored_unit.occurrence, stored_unit.step_index][
            stored_unit.position
        ]
        unit.failures = stored_unit.failures
        unit.checkpoint = stored_unit.checkpoint
        unit.is_done = stored_unit.is_done
        unit.last_failed_run = stored_unit.last_failed_run
        unit.last_aborted_run = stored_unit.last_aborted_run
        job.unfinished_unit_count -= stored_unit.is_done
        if unit.failures:
            job.update_unit_with_most_failures(unit)
        tasks_by_id = {task.task_id: task for task in unit.tasks}
        for task, run in zip(unit.tasks, stored_unit.runs, strict=True):
            task.run = run
            task.is_done = stored_unit.is_done
        for placement in stored_unit.placements:
            state.set_placement(tasks_by_id[placement.task_id], placement)
        state.refresh_waiting(unit)
    if stored.state in (JobState.QUEUED, JobState.RUNNING):
        job.state = stored.state
    else:
        state.end_job(job, stored.state)


def _decode_begin(job: SiteJob, stored: _StoredJob) -> None:
    job.may_have_run = stored.may_have_run
    job.has_begun = (
        stored.may_have_run if stored.has_begun is None else stored.has_begun
    )
