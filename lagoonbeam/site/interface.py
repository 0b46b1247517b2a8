"""The product's own HTTP interface of a site: jobs of steps, and metrics.

Callers present a key of their organisation as a bearer token. Failures are
problem documents; ``docs/CALLERS.md`` lists them.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import anyio
import msgspec

from lagoonbeam.core.http11 import Response
from lagoonbeam.core.http_server import Request
from lagoonbeam.core.jobs import Outcome, Phase
from lagoonbeam.core.problems import MEDIA_TYPE, describe_problem
from lagoonbeam.errors import (
    InvalidRequestError,
    KeyReusedError,
    LagoonbeamError,
    UnauthorizedError,
    UnknownJobError,
    UnknownKindError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.entries import JobEntry, make_fingerprint
from lagoonbeam.site.model import JobRequest, JobState, Organisation
from lagoonbeam.site.requests import decode_submission, make_job
from lagoonbeam.site.service import JobService

JOBS_PATH = "/v1/jobs"
READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"
SUBMIT_TIMEOUT_S = 5.0
"""Seconds to store a submission or a cancellation."""
LONGEST_WAIT_S = 300.0
"""Longest wait of one call for a job's end."""
MAX_LISTED = 1_000
DEFAULT_LISTED = 100
_SCHEME = "bearer "
_OUTCOMES = {
    JobState.COMPLETED: Outcome.COMPLETED,
    JobState.FAILED: Outcome.FAILED,
    JobState.CANCELLED: Outcome.CANCELLED,
    JobState.UNKNOWN: Outcome.UNKNOWN,
    JobState.DID_NOT_RUN: Outcome.DID_NOT_RUN,
}
_PHASES = {
    JobState.QUEUED: Phase.QUEUED,
    JobState.RUNNING: Phase.RUNNING,
}


@dataclass(frozen=True, slots=True)
class JobReport:
    """What is known of a job.

    Attributes:
        job_id: The job.
        organisation: Its organisation.
        kind: Its kind of work.
        phase: Where it stands.
        outcome: Set once it is finished, empty before.
        detail: Explanation.
        accepted_at_s: Wall clock time of acceptance.
        steps: How far its steps are; see `StepProgress`.
    """

    job_id: str
    organisation: str
    kind: str
    phase: str
    outcome: str
    detail: str
    accepted_at_s: float
    steps: list[dict[str, int]] = field(default_factory=list)


Handler = Callable[[Request, str], Awaitable[Response]]


class JobInterface:
    """Answers callers in the product's own terms.

    Args:
        service: What the answers come from.
        decisions: The decision log.
    """

    def __init__(self, service: JobService, decisions: DecisionLog):
        self._service = service
        self._decisions = decisions

    async def answer(self, request: Request) -> Response:
        """Answers one request; never raises."""
        try:
            response = await self._answer(request)
        except LagoonbeamError as error:
            response = self._refuse(request, error)
        except Exception as error:  # noqa: BLE001
            self._service.note_fault(request.target, error)
            response = Response(500)
        requests = self._decisions.metrics.requests
        requests.labels(request.method, str(response.status)).inc()
        return response

    def _refuse(
        self, request: Request, error: LagoonbeamError, job_id: str = ""
    ) -> Response:
        problem = describe_problem(error, job_id=job_id)
        self._service.note_refusal(
            request.method,
            request.target,
            status=problem.status,
            error=error,
            job_id=job_id,
        )
        headers = {"Content-Type": MEDIA_TYPE, **problem.headers}
        return Response(problem.status, problem.body, headers)

    async def _answer(self, request: Request) -> Response:
        path = request.target.partition("?")[0]
        if path == METRICS_PATH:
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            body = self._decisions.metrics.render()
            return Response(200, body, headers)
        if path == READY_PATH:
            self._service.check_ready()
            return _make_json({"ready": True})
        collection: dict[str, Handler] = {
            "POST": self._submit,
            "GET": self._list_jobs,
        }
        member: dict[str, Handler] = {
            "GET": self._get_job,
            "DELETE": self._cancel_job,
        }
        base, _, job_id = path.rpartition("/")
        if path == JOBS_PATH:
            handlers = collection
        elif base == JOBS_PATH and job_id:
            handlers = member
        else:
            raise UnknownJobError(
                f"got path {path!r}, expected {JOBS_PATH}, {JOBS_PATH}/JOB,"
                f" {READY_PATH} or {METRICS_PATH}"
            )
        if request.method not in handlers:
            return Response(405, headers={"Allow": ", ".join(handlers)})
        return await handlers[request.method](request, job_id)

    async def _submit(self, request: Request, _: str) -> Response:
        organisation = self._identify(request)
        wait_s = _read_number(request, "wait_s", 0.0, LONGEST_WAIT_S)
        submission = decode_submission(request.body)
        queue = self._service.configuration.find_policy(submission.kind)
        if queue is None:
            raise UnknownKindError(
                f"got kind {submission.kind!r}, expected one of"
                f" {self._service.configuration.list_queues()}"
            )
        job = make_job(
            submission,
            queue=queue,
            organisation=organisation.name,
            key=request.headers.get("idempotency-key", "").strip('"'),
        )
        try:
            await self._service.submit(job, timeout_s=SUBMIT_TIMEOUT_S)
            entry = await self._service.get_job(job.job_id)
        except LagoonbeamError as error:
            return self._refuse(request, error, job.job_id)
        _check_same(entry, job)
        return await self._tell(entry, wait_s)

    async def _get_job(self, request: Request, job_id: str) -> Response:
        wait_s = _read_number(request, "wait_s", 0.0, LONGEST_WAIT_S)
        return await self._tell(await self._find(request, job_id), wait_s)

    async def _cancel_job(self, request: Request, job_id: str) -> Response:
        await self._find(request, job_id)
        await self._service.cancel(job_id, timeout_s=SUBMIT_TIMEOUT_S)
        await self._service.catch_up()
        return await self._tell(await self._service.get_job(job_id), 0.0)

    async def _list_jobs(self, request: Request, _: str) -> Response:
        organisation = self._identify(request)
        limit = _read_number(request, "limit", DEFAULT_LISTED, MAX_LISTED)
        entries = self._service.list_jobs(organisation.name)
        latest = itertools.islice(entries, int(limit))
        return _make_json({"jobs": [make_report(entry) for entry in latest]})

    async def _find(self, request: Request, job_id: str) -> JobEntry:
        """Returns a job if the caller may see it."""
        organisation = self._identify(request)
        entry = await self._service.get_job(job_id)
        if entry.request.organisation != organisation.name:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        return entry

    async def _tell(self, entry: JobEntry, wait_s: float) -> Response:
        job_id = entry.request.job_id
        deadline_s = time.monotonic() + wait_s
        while entry.is_open and not self._service.is_draining:
            with anyio.move_on_after(deadline_s - time.monotonic()) as scope:
                await self._service.wait_change()
            if scope.cancelled_caught:
                break
            entry = await self._service.get_job(job_id)
        status = 202 if entry.is_open else 200
        return _make_json(make_report(entry), status)

    def _identify(self, request: Request) -> Organisation:
        """Returns the organisation of a caller's token.

        Raises:
            UnauthorizedError: If the token is none of an organisation.
        """
        header = request.headers.get("authorization", "")
        token = ""
        if header.lower().startswith(_SCHEME):
            token = header[len(_SCHEME) :].strip()
        found = self._service.configuration.find_organisation(token)
        if found is None:
            raise UnauthorizedError(
                "got no or an unknown token, expected 'Authorization: Bearer"
                " KEY'"
            )
        return found


def make_report(entry: JobEntry) -> JobReport:
    """Returns what callers are told of a job."""
    state = entry.state
    steps = [msgspec.structs.asdict(each) for each in entry.get_progress()]
    return JobReport(
        entry.request.job_id,
        entry.request.organisation,
        entry.request.queue.name,
        _PHASES.get(state, Phase.FINISHED).value,
        _OUTCOMES[state].value if state in _OUTCOMES else "",
        _describe(entry),
        entry.request.accepted_at_s,
        steps,
    )


def _describe(entry: JobEntry) -> str:
    if entry.state is JobState.UNKNOWN:
        return "a run of it ended without an answer; it is not repeated"
    if entry.state is JobState.DID_NOT_RUN:
        return f"not started within {entry.request.start_within_s:g} s"
    progress = entry.get_progress()
    done = sum(step.done for step in progress)
    running = sum(step.running for step in progress)
    tasks = sum(step.tasks for step in progress)
    return f"{done} of {tasks} tasks done, {running} running"


def _check_same(entry: JobEntry, job: JobRequest) -> None:
    """Checks that a key was not used for another job.

    Raises:
        KeyReusedError: If it was.
    """
    if entry.get_fingerprint() != make_fingerprint(job):
        raise KeyReusedError(
            f"the key was used for another job, {job.job_id}; expected a new"
            " key for a new job"
        )


def _read_number(
    request: Request, name: str, default: float, largest: float
) -> float:
    query = parse_qs(request.target.partition("?")[2], keep_blank_values=True)
    if name not in query:
        return default
    text = query[name][-1]
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= largest:
        raise InvalidRequestError(
            f"{name}: got {text!r}, expected a number from 0 to {largest:g}"
        )
    return value


def _make_json(value: object, status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(value))
