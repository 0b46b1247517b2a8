"""Snapshots: a state as bytes, so that old records may go."""

from __future__ import annotations

import msgspec

from lagoonbeam.errors import MalformedDataError
from lagoonbeam.site.entries import JobEntry, Retired, UnitState
from lagoonbeam.site.model import JobRequest, JobState
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    MachineMoved,
    Placement,
    TermClaimed,
    WaveBegun,
)
from lagoonbeam.site.state import SiteState


class _Unit(msgspec.Struct, array_like=True, omit_defaults=True):
    """A unit that differs from a fresh one.

    Attributes:
        occurrence: Number of its occurrence.
        step: Number of its step.
        position: Number inside the step.
        runs: Latest run of each task.
        placements: Runs that may exist.
        failures: Runs that ended as failed.
        checkpoint: Newest known progress.
        is_done: Whether all its work is done.
        failed_run: Number of the last run that failed.
        void_run: Number of the last run of which a task never started.
    """

    occurrence: int
    step: int
    position: int
    runs: tuple[int, ...]
    placements: tuple[Placement, ...] = ()
    failures: int = 0
    checkpoint: str = ""
    is_done: bool = False
    failed_run: int = 0
    void_run: int = 0


class _Job(msgspec.Struct, array_like=True):
    request: JobRequest
    state: JobState
    has_started: bool
    units: tuple[_Unit, ...]
    retired: Retired | None = None


class _Wave(msgspec.Struct, array_like=True):
    number: int
    begun_at_s: float
    serviced: tuple[str, ...]


class _State(msgspec.Struct):
    term: tuple[int, str, str, bool]
    instances: tuple[InstanceJoined, ...]
    jobs: tuple[_Job, ...]
    waves: tuple[_Wave, ...] = ()
    completed_waves: tuple[int, ...] = ()
    lent_machines: tuple[MachineMoved, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_State)


def encode_state(state: SiteState) -> bytes:
    """Returns a state's bytes."""
    term = state.term
    return _ENCODER.encode(
        _State(
            (term.number, term.instance, term.incarnation, term.is_resigned),
            tuple(state.instances.values()),
            tuple(_encode_job(job) for job in state.jobs.values()),
            tuple(
                _Wave(number, wave.begun_at_s, tuple(sorted(wave.serviced)))
                for number, wave in state.waves.items()
            ),
            tuple(sorted(state.completed_waves)),
            tuple(
                MachineMoved(name, loan.pool, loan.home)
                for name, loan in state.lent_machines.items()
            ),
        )
    )


def decode_state(data: bytes) -> SiteState:
    """Returns the state in some bytes.

    Raises:
        MalformedDataError: If they hold no state.
    """
    try:
        stored = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedDataError(f"snapshot: {error}") from error
    state = SiteState()
    for instance in stored.instances:
        state.apply(instance)
    number, instance_name, incarnation, is_resigned = stored.term
    state.apply(TermClaimed(number, instance_name, incarnation))
    state.term.is_resigned = is_resigned
    for job in stored.jobs:
        _decode_job(state, job)
    for wave in stored.waves:
        state.apply(WaveBegun(wave.number, wave.begun_at_s))
        state.waves[wave.number].serviced.update(wave.serviced)
    state.completed_waves.update(stored.completed_waves)
    for move in stored.lent_machines:
        state.apply(move)
    return state


def _encode_job(job: JobEntry) -> _Job:
    units = tuple(
        _encode_unit(unit, position)
        for siblings in job.units.values()
        for position, unit in enumerate(siblings)
        if unit.is_done or any(task.run for task in unit.tasks)
    )
    return _Job(job.request, job.state, job.has_started, units, job.retired)


def _encode_unit(unit: UnitState, position: int) -> _Unit:
    return _Unit(
        unit.occurrence,
        unit.step,
        position,
        tuple(task.run for task in unit.tasks),
        tuple(task.placement for task in unit.tasks if task.placement),
        unit.failures,
        unit.checkpoint,
        unit.is_done,
        unit.failed_run,
        unit.void_run,
    )


def _decode_job(state: SiteState, stored: _Job) -> None:
    if stored.retired is not None:
        job = JobEntry(stored.request, state=stored.state)
        job.has_started = stored.has_started
        job.retired = stored.retired
        state.add_retired(job)
        return
    state.apply(JobAccepted(stored.request))
    job = state.jobs[stored.request.job_id]
    job.has_started = stored.has_started
    for item in stored.units:
        unit = job.units[item.occurrence, item.step][item.position]
        unit.failures = item.failures
        unit.checkpoint = item.checkpoint
        unit.is_done = item.is_done
        unit.failed_run = item.failed_run
        unit.void_run = item.void_run
        job.open_units -= item.is_done
        if unit.failures:
            job.note_failures(unit)
        by_id = {task.task_id: task for task in unit.tasks}
        for task, run in zip(unit.tasks, item.runs, strict=True):
            task.run = run
            task.is_done = item.is_done
        for placement in item.placements:
            state.set_placement(by_id[placement.task_id], placement)
        state.review(unit)
    if stored.state in (JobState.QUEUED, JobState.RUNNING):
        job.state = stored.state
    else:
        state.end_job(job, stored.state)
