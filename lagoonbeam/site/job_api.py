"""The product's own HTTP API of a site: jobs, readiness and metrics.

Callers present an API key of their organisation as a bearer token. Errors are
returned as problem documents, which ``docs/CALLERS.md`` lists.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import msgspec

from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import Request
from lagoonbeam.core.jobs import JobOutcome, JobPhase
from lagoonbeam.core.problem_details import (
    PROBLEM_MEDIA_TYPE,
    build_problem_response,
)
from lagoonbeam.errors import (
    IdempotencyKeyReusedError,
    InvalidRequestError,
    LagoonbeamError,
    UnauthorizedError,
    UnknownJobError,
    UnknownKindError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.job_scope import JobScope
from lagoonbeam.site.job_service import JobService
from lagoonbeam.site.jobs import SiteJob, make_fingerprint
from lagoonbeam.site.model import JobRequest, JobState, Organisation
from lagoonbeam.site.requests import decode_submission, make_job_request

JOBS_PATH = "/v1/jobs"
READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"
SUBMIT_TIMEOUT_S = 5.0
"""Time to store a submission or a cancellation."""
MAX_WAIT_S = 300.0
"""Longest time that a request may wait for the end of a job."""
MAX_LISTED_JOBS = 1_000
DEFAULT_LISTED_JOBS = 100
_BEARER_PREFIX = "bearer "
_OUTCOMES = {
    JobState.COMPLETED: JobOutcome.COMPLETED,
    JobState.FAILED: JobOutcome.FAILED,
    JobState.CANCELLED: JobOutcome.CANCELLED,
    JobState.UNKNOWN: JobOutcome.UNKNOWN,
    JobState.DID_NOT_RUN: JobOutcome.DID_NOT_RUN,
}
_PHASES = {
    JobState.QUEUED: JobPhase.QUEUED,
    JobState.RUNNING: JobPhase.RUNNING,
}


@dataclass(frozen=True, slots=True)
class JobReport:
    """The status of a job as returned to callers.

    Attributes:
        job_id: Identifier of the job.
        organisation: The organisation that submitted it.
        kind: Kind of work; the name of its queue.
        phase: A value of `JobPhase`.
        outcome: A value of `JobOutcome` once the job is finished, empty before.
        detail: Explanation for people.
        accepted_at_s: Wall clock time of acceptance.
        steps: Progress of each step, as in `StepProgress`.
    """

    job_id: str
    organisation: str
    kind: str
    phase: str
    outcome: str
    detail: str
    accepted_at_s: float
    steps: list[dict[str, int]] = field(default_factory=list)


RequestHandler = Callable[[Request, str], Awaitable[Response]]


class JobApi:
    """Serves the product's own HTTP API.

    Args:
        service: Performs the operations on jobs.
        decisions: The decision log.
    """

    def __init__(self, service: JobService, decisions: DecisionLog):
        self._service = service
        self._decisions = decisions

    async def answer(self, request: Request) -> Response:
        """Answers one request; never raises."""
        try:
            response = await self._route_request(request)
        except LagoonbeamError as error:
            response = self._make_problem_response(request, error)
        except Exception as error:  # noqa: BLE001
            self._service.log_internal_error(request.target, error)
            response = Response(500)
        requests = self._decisions.metrics.requests
        requests.labels(request.method, str(response.status)).inc()
        return response

    def _make_problem_response(
        self, request: Request, error: LagoonbeamError, job_id: str = ""
    ) -> Response:
        problem = build_problem_response(error, job_id=job_id)
        self._service.log_refusal(
            request.method,
            request.target,
            status=problem.status,
            error=error,
            job_id=job_id,
        )
        headers = {"Content-Type": PROBLEM_MEDIA_TYPE, **problem.headers}
        return Response(problem.status, problem.body, headers)

    async def _route_request(self, request: Request) -> Response:
        path = request.target.partition("?")[0]
        if path == METRICS_PATH:
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            body = self._decisions.metrics.render()
            return Response(200, body, headers)
        if path == READY_PATH:
            self._service.check_ready()
            return _make_json_response({"ready": True})
        collection_handlers: dict[str, RequestHandler] = {
            "POST": self._submit,
            "GET": self._list_jobs,
        }
        job_handlers: dict[str, RequestHandler] = {
            "GET": self._get_job,
            "DELETE": self._cancel_job,
        }
        base, _, job_id = path.rpartition("/")
        if path == JOBS_PATH:
            handlers = collection_handlers
        elif base == JOBS_PATH and job_id:
            handlers = job_handlers
        else:
            raise UnknownJobError(
                f"got path {path!r}, expected {JOBS_PATH}, {JOBS_PATH}/JOB,"
                f" {READY_PATH} or {METRICS_PATH}"
            )
        if request.method not in handlers:
            return Response(405, headers={"Allow": ", ".join(handlers)})
        return await handlers[request.method](request, job_id)

    async def _submit(self, request: Request, _: str) -> Response:
        organisation = self._authenticate(request)
        wait_s = _parse_query_number(request, "wait_s", 0.0, MAX_WAIT_S)
        submission = decode_submission(request.body)
        queue = self._service.configuration.find_policy(submission.kind)
        if queue is None:
            self._service.check_configuration_age()
            raise UnknownKindError(
                f"got kind {submission.kind!r}, expected one of"
                f" {self._service.configuration.list_queue_names()}"
            )
        job_request = make_job_request(
            submission,
            queue=queue,
            organisation=organisation.name,
            idempotency_key=request.headers.get("idempotency-key", "").strip(
                '"'
            ),
        )
        try:
            scope = JobScope(organisation=organisation.name)
            await self._service.submit(
                job_request, scope, timeout_s=SUBMIT_TIMEOUT_S
            )
            entry = await self._service.get_job(job_request.job_id, scope)
        except LagoonbeamError as error:
            return self._make_problem_response(
                request, error, job_request.job_id
            )
        _check_same_request(entry, job_request)
        return await self._wait_and_report(request, entry, wait_s)

    async def _get_job(self, request: Request, job_id: str) -> Response:
        wait_s = _parse_query_number(request, "wait_s", 0.0, MAX_WAIT_S)
        entry = await self._get_visible_job(request, job_id)
        return await self._wait_and_report(request, entry, wait_s)

    async def _cancel_job(self, request: Request, job_id: str) -> Response:
        entry = await self._get_visible_job(request, job_id)
        scope = JobScope(organisation=entry.request.organisation)
        await self._service.cancel(job_id, scope, timeout_s=SUBMIT_TIMEOUT_S)
        await self._service.catch_up()
        entry = await self._service.get_job(job_id, scope)
        return await self._wait_and_report(request, entry, 0.0)

    async def _list_jobs(self, request: Request, _: str) -> Response:
        organisation = self._authenticate(request)
        limit = _parse_query_number(
            request, "limit", DEFAULT_LISTED_JOBS, MAX_LISTED_JOBS
        )
        entries = self._service.list_jobs(organisation.name)
        latest = itertools.islice(entries, int(limit))
        return _make_json_response(
            {"jobs": [make_job_report(entry) for entry in latest]}
        )

    async def _get_visible_job(self, request: Request, job_id: str) -> SiteJob:
        """Returns a job of the caller's organisation.

        Raises:
            UnauthorizedError: If the caller's token is not known.
            UnknownJobError: If the job does not exist or belongs to another
                organisation.
        """
        organisation = self._authenticate(request)
        scope = JobScope(organisation=organisation.name)
        entry = await self._service.get_job(job_id, scope)
        if entry.request.organisation != organisation.name:
            raise UnknownJobError(f"job {job_id!r} is not known")
        return entry

    async def _wait_and_report(
        self, request: Request, entry: SiteJob, wait_s: float
    ) -> Response:
        """Waits for a job's outcome; less if others need the connection."""
        job_id = entry.request.job_id
        scope = JobScope(organisation=entry.request.organisation)
        deadline_s = time.monotonic() + wait_s
        while entry.is_open and not self._service.is_draining:
            with request.move_on_after(deadline_s - time.monotonic()) as wait:
                await self._service.wait_for_change()
            if wait.cancelled_caught:
                break
            entry = await self._service.get_job(job_id, scope)
        status = 202 if entry.is_open else 200
        return _make_json_response(make_job_report(entry), status)

    def _authenticate(self, request: Request) -> Organisation:
        """Returns the organisation that a request's bearer token belongs to.

        Raises:
            UnauthorizedError: If the token is missing or not known.
            NotReadyError: If it may be known by now.
        """
        header = request.headers.get("authorization", "")
        token = ""
        if header.lower().startswith(_BEARER_PREFIX):
            token = header[len(_BEARER_PREFIX) :].strip()
        organisation = self._service.configuration.find_organisation(token)
        if organisation is None:
            if token:
                self._service.check_configuration_age()
            raise UnauthorizedError(
                "the bearer token is missing or not known, expected"
                " 'Authorization: Bearer KEY'"
            )
        return organisation


def make_job_report(entry: SiteJob) -> JobReport:
    """Returns the status of a job as callers see it."""
    state = entry.state
    steps = [msgspec.structs.asdict(each) for each in entry.get_progress()]
    return JobReport(
        entry.request.job_id,
        entry.request.organisation,
        entry.request.queue.name,
        _PHASES.get(state, JobPhase.FINISHED).value,
        _OUTCOMES[state].value if state in _OUTCOMES else "",
        _describe_job(entry),
        entry.request.accepted_at_s,
        steps,
    )


def _describe_job(entry: SiteJob) -> str:
    if entry.state is JobState.UNKNOWN:
        return (
            "the result of a run is unknown; the job is not idempotent, so it"
            " is not repeated"
        )
    if entry.state is JobState.DID_NOT_RUN:
        return f"not started within {entry.request.start_within_s:g} s"
    progress = entry.get_progress()
    done = sum(step.done for step in progress)
    running = sum(step.running for step in progress)
    tasks = sum(step.tasks for step in progress)
    return f"{done} of {tasks} tasks done, {running} running"


def _check_same_request(entry: SiteJob, job_request: JobRequest) -> None:
    """Checks that an idempotency key was not used for a different job.

    Raises:
        IdempotencyKeyReusedError: If it was.
    """
    if entry.get_fingerprint() != make_fingerprint(job_request):
        raise IdempotencyKeyReusedError(
            "the idempotency key was used for another job,"
            f" {job_request.job_id}; expected a new key for a new job"
        )


def _parse_query_number(
    request: Request, name: str, default: float, maximum: float
) -> float:
    query = parse_qs(request.target.partition("?")[2], keep_blank_values=True)
    if name not in query:
        return default
    text = query[name][-1]
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        raise InvalidRequestError(
            f"{name}: got {text!r}, expected a number from 0 to {maximum:g}"
        )
    return value


def _make_json_response(value: object, status: int = 200) -> Response:
    return Response(status, msgspec.json.encode(value))
