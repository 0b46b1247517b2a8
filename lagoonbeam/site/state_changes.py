"""How each record of the journal changes the site's state."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from lagoonbeam.site.jobs import PlacementUnit, Task, build_job
from lagoonbeam.site.model import JobState, RunEndReason
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobFailed,
    JobsBegun,
    LeasesRenewed,
    MachineMoved,
    MachineServiced,
    Record,
    RunEnd,
    RunsEnded,
    RunsPlaced,
    SpeedsEstimated,
    TermClaimed,
    TermRenewed,
    TermResigned,
    UpkeepOrdered,
    WaveBegun,
    WaveCompleted,
)
from lagoonbeam.site.state_model import MachineLoan, Term, WaveProgress

if TYPE_CHECKING:
    from lagoonbeam.site.state import SiteState

NO_WORK_ENDS = (RunEndReason.NEVER_STARTED, RunEndReason.PEERS_MISSING)
"""Ends of runs in which no work was done."""
MAX_CANCELLED_IDS = 4_000
"""Identifiers that were cancelled without a job; the oldest are dropped."""
MAX_SCOPES_PER_ID = 16
"""Scopes that are kept of one such identifier; the oldest are dropped."""
MAX_KNOWN_CLAIMS = 100
"""Newest claims of terms that are kept to bound the age of leases."""


@functools.singledispatch
def apply_record(record: Record, state: SiteState) -> None:
    """Applies one record; the overload is chosen by its type."""


@apply_record.register(InstanceJoined)
def _(record: InstanceJoined, state: SiteState) -> None:
    state.instances[record.instance] = record


@apply_record.register(JobAccepted)
def _(record: JobAccepted, state: SiteState) -> None:
    request = record.job
    if request.job_id in state.jobs:
        return
    job = build_job(request)
    state.add_job(job)
    scopes = state.cancelled_scopes.pop(request.job_id, ())
    if any(scope.covers(request) for scope in scopes):
        state.end_job(job, JobState.CANCELLED)


@apply_record.register(JobCancelled)
def _(record: JobCancelled, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None:
        if record.scope.covers(job.request):
            state.end_job(job, JobState.CANCELLED)
        return
    known_scopes = state.cancelled_scopes.get(record.job_id, ())
    if record.scope not in known_scopes:
        scopes = (*known_scopes, record.scope)[-MAX_SCOPES_PER_ID:]
        state.cancelled_scopes[record.job_id] = scopes
    if len(state.cancelled_scopes) > MAX_CANCELLED_IDS:
        del state.cancelled_scopes[next(iter(state.cancelled_scopes))]


@apply_record.register(JobFailed)
def _(record: JobFailed, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None:
        state.end_job(job, JobState.FAILED)


@apply_record.register(JobsBegun)
def _(record: JobsBegun, state: SiteState) -> None:
    for job_id in record.job_ids:
        job = state.jobs.get(job_id)
        if job is not None:
            job.mark_begun()


@apply_record.register(JobDropped)
def _(record: JobDropped, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None and job.has_certainly_not_run:
        state.end_job(job, JobState.DID_NOT_RUN)


@apply_record.register(WaveBegun)
def _(record: WaveBegun, state: SiteState) -> None:
    state.waves.setdefault(record.wave, WaveProgress(record.begun_at_s))


@apply_record.register(UpkeepOrdered)
def _(record: UpkeepOrdered, state: SiteState) -> None:
    wave = state.waves.get(record.wave)
    if wave is not None:
        wave.ordered.add(record.machine_id)


@apply_record.register(MachineServiced)
def _(record: MachineServiced, state: SiteState) -> None:
    wave = state.waves.get(record.wave)
    if wave is not None:
        wave.serviced.add(record.machine_id)


@apply_record.register(WaveCompleted)
def _(record: WaveCompleted, state: SiteState) -> None:
    state.waves.pop(record.wave, None)
    state.completed_waves.add(record.wave)


@apply_record.register(MachineMoved)
def _(record: MachineMoved, state: SiteState) -> None:
    if record.pool == record.home:
        state.lent_machines.pop(record.machine_id, None)
    else:
        loan = MachineLoan(record.pool, record.home)
        state.lent_machines[record.machine_id] = loan


@apply_record.register(TermClaimed)
def _(record: TermClaimed, state: SiteState) -> None:
    state.term = Term(record.term, record.instance, record.incarnation, False)
    state.renewals_at_claim[record.term] = state.renewal_count
    if len(state.renewals_at_claim) > MAX_KNOWN_CLAIMS:
        del state.renewals_at_claim[next(iter(state.renewals_at_claim))]


@apply_record.register(TermRenewed)
def _(record: TermRenewed, state: SiteState) -> None:
    if record.term != state.term.number:
        return
    state.renewal_count += state.term.is_renewed
    state.term.is_renewed = True
    state.late_starts.discard_expired(state.renewal_count)


@apply_record.register(TermResigned)
def _(record: TermResigned, state: SiteState) -> None:
    if record.term == state.term.number:
        state.term.is_resigned = True


@apply_record.register(LeasesRenewed)
def _(record: LeasesRenewed, state: SiteState) -> None:
    for worker in record.workers:
        if state.tasks_by_worker.get(worker):
            state.lease_terms[worker] = record.term


@apply_record.register(RunsPlaced)
def _(record: RunsPlaced, state: SiteState) -> None:
    for placement in record.placements:
        task = state.tasks.get(placement.task_id)
        # A placement that was not confirmed in time is planned again.
        if task is None or placement.run <= task.run:
            continue
        task.run = placement.run
        state.set_placement(task, placement)
        state.lease_terms[placement.worker] = state.term.number
        state.refresh_waiting(task.unit)


@apply_record.register(SpeedsEstimated)
def _(record: SpeedsEstimated, state: SiteState) -> None:
    state.speed_estimates.update(record.speeds, record.run_times_s)


@apply_record.register(RunsEnded)
def _(record: RunsEnded, state: SiteState) -> None:
    for end in record.ends:
        task = state.tasks.get(end.task_id)
        if task is None or task.placement is None or task.run != end.run:
            continue
        state.late_starts.add_ended(
            end, task.placement.worker, state.renewal_count
        )
        _apply_run_end(state, task, end)
        state.refresh_waiting(task.unit)


def _shows_work(unit: PlacementUnit, end: RunEnd) -> bool:
    """Whether the end of a run shows that a worker had begun it.

    A member of a gang is also stopped, or broken, while it waits for others.
    """
    return end.end in (RunEndReason.DONE, RunEndReason.FAILED) or (
        end.end is RunEndReason.STOPPED and not unit.spec.is_gang
    )


def _apply_run_end(state: SiteState, task: Task, end: RunEnd) -> None:
    unit = task.unit
    state.clear_placement(task)
    if _shows_work(unit, end):
        unit.job.mark_begun()
    elif end.end not in NO_WORK_ENDS or end.late_start_ms > 0:
        unit.job.may_have_run = True
    if end.checkpoint:
        unit.checkpoint = end.checkpoint
    if end.end is RunEndReason.FAILED and unit.last_failed_run != end.run:
        unit.last_failed_run = end.run if unit.spec.is_gang else 0
        unit.failures += 1
        unit.job.update_unit_with_most_failures(unit)
    if end.end in NO_WORK_ENDS:
        unit.last_aborted_run = end.run
    elif (
        unit.job.request.runs_once
        and end.end not in (RunEndReason.DONE, RunEndReason.FAILED)
        and not (unit.spec.is_gang and unit.last_aborted_run == end.run)
    ):
        state.end_job(unit.job, JobState.UNKNOWN)
    if (
        end.end is not RunEndReason.DONE
        or unit.is_done
        or unit.spec.is_long_running
    ):
        return
    unit.mark_done()
    for member in unit.tasks if unit.spec.is_gang else ():
        state.clear_placement(member)
    if unit.job.unfinished_unit_count == 0:
        state.end_job(unit.job, JobState.COMPLETED)
