"""HTTP API of an entry for callers and operators."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lagoonbeam.core import http_client, http_server
from lagoonbeam.core.events import Event, EventLog
from lagoonbeam.core.jobs import Job, JobStatus
from lagoonbeam.core.messages import (
    CancelJob,
    DrainEndpoint,
    EventList,
    GetEvents,
    GetFleet,
    GetInstances,
    GetRules,
    JobList,
    ListJobs,
    Message,
    PublishRules,
    RulesStatus,
    SubmitJob,
    WaitJob,
)
from lagoonbeam.core.settings import AccessToken, EntrySettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.entry.access_control import (
    Authenticator,
    require_operator,
    require_organisation,
)
from lagoonbeam.entry.asgi import SERVER_REQUEST
from lagoonbeam.entry.problems import (
    make_problem_response,
    make_server_response,
)
from lagoonbeam.entry.requests import decode_job
from lagoonbeam.entry.responses import make_json_response
from lagoonbeam.entry.scheduler_client import SchedulerClient, expect_reply
from lagoonbeam.errors import (
    InvalidRequestError,
    LagoonbeamError,
    LinkError,
    NotReadyError,
    TooManyRequestsError,
    UnauthorizedError,
    UnavailableError,
    UnknownJobError,
)

CALL_TIMEOUT_S = 5.0
"""Time-out of a call to a scheduler, in addition to the wait it asks for."""
MAX_CALL_WAIT_S = 5.0
"""Longest wait in one call; a longer wait is split into several calls."""
WAIT_RETRY_INTERVAL_S = 0.1
"""Pause before the schedulers are asked again for the outcome of a job."""
MAX_LISTED_JOBS = 1_000

RequestHandler = Callable[[Request, AccessToken], Awaitable[Response]]


class EntryApplication:
    """Serves the HTTP API.

    Args:
        settings: The entry's settings.
        scheduler_client: Client of the schedulers.
        events: Log to which events are written.
        metrics: Recorder of counts and durations.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        scheduler_client: SchedulerClient,
        events: EventLog,
        metrics: StatsdMetrics,
    ):
        self.open_requests = 0
        self._drain_deadline_s = math.inf
        self._settings = settings
        self._schedulers = scheduler_client
        self._events = events
        self._metrics = metrics
        self._authenticator = Authenticator(settings.tokens)

    def drain(self, *, timeout_s: float) -> None:
        """Reports not ready, and ends the waits of requests by a time-out."""
        self._drain_deadline_s = time.monotonic() + timeout_s

    def check_head(
        self, request: http_server.Request
    ) -> http_client.Response | None:
        """Returns the response to a request whose body is not to be read."""
        authorization = request.headers.get("authorization", "")
        try:
            self._authenticator.authenticate(authorization)
        except UnauthorizedError as error:
            return make_server_response(error)
        return None

    def build_asgi_application(self) -> Starlette:
        """Returns the ASGI application."""
        routes: list[tuple[str, str, RequestHandler]] = [
            ("POST", "/v1/jobs", self._submit_job),
            ("GET", "/v1/jobs", self._list_jobs),
            ("GET", "/v1/jobs/{job_id}", self._get_job),
            ("DELETE", "/v1/jobs/{job_id}", self._cancel_job),
            ("GET", "/v1/rules", self._get_rules),
            ("PUT", "/v1/rules", self._publish_rules),
            ("GET", "/v1/fleet", self._get_fleet),
            ("GET", "/v1/instances", self._get_instances),
            ("POST", "/v1/endpoints/{worker}/drain", self._drain_endpoint),
            ("GET", "/v1/events", self._get_events),
        ]
        return Starlette(
            routes=[
                *(
                    Route(path, self._wrap_handler(handler), methods=[method])
                    for method, path, handler in routes
                ),
                Route("/v1/ready", self._get_ready),
            ]
        )

    def _wrap_handler(
        self, handler: RequestHandler
    ) -> Callable[[Request], Awaitable[Response]]:
        """Adds authentication, the request limit and error responses."""

        async def handle_request(request: Request) -> Response:
            self.open_requests += 1
            started_s = time.monotonic()
            try:
                authorization = request.headers.get("authorization", "")
                token = self._authenticator.authenticate(authorization)
                if self.open_requests > self._settings.limits.open_requests:
                    raise TooManyRequestsError(
                        f"{self.open_requests} requests are open, expected at"
                        f" most {self._settings.limits.open_requests}",
                        retry_after_s=1.0,
                    )
                return await handler(request, token)
            except LagoonbeamError as error:
                self._metrics.count(f"http.{error.code}")
                return make_problem_response(error)
            finally:
                self.open_requests -= 1
                self._metrics.time("http.request", time.monotonic() - started_s)

        return handle_request

    # Routes of callers

    async def _submit_job(
        self, request: Request, token: AccessToken
    ) -> Response:
        organisation = require_organisation(token)
        wait_s = self._parse_wait_s(request)
        body = await request.body()
        key = request.headers.get("idempotency-key", "").strip('"')
        job = decode_job(body, organisation=organisation, key=key)
        self._events.emit(
            "request.received", job=job.job_id, organisation=organisation
        )
        try:
            reply = await self._schedulers.call(
                SubmitJob(job), timeout_s=CALL_TIMEOUT_S
            )
        except LagoonbeamError as error:
            self._events.emit(
                "request.refused",
                job=job.job_id,
                organisation=organisation,
                cause=error.code,
            )
            return make_problem_response(error, job_id=job.job_id)
        status = expect_reply(reply, JobStatus)
        if wait_s and not status.outcome:
            status = await self._wait_for_outcome(request, status, wait_s)
        return self._make_submit_response(status, job)

    async def _get_job(self, request: Request, token: AccessToken) -> Response:
        wait_s = self._parse_wait_s(request)
        job_id = request.path_params["job_id"]
        status = await self._get_visible_job(job_id, token)
        if wait_s and not status.outcome:
            status = await self._wait_for_outcome(request, status, wait_s)
        return make_json_response(status)

    async def _cancel_job(
        self, request: Request, token: AccessToken
    ) -> Response:
        job_id = request.path_params["job_id"]
        await self._get_visible_job(job_id, token)
        reply = await self._schedulers.call(
            CancelJob(job_id), timeout_s=CALL_TIMEOUT_S
        )
        return make_json_response(expect_reply(reply, JobStatus))

    async def _list_jobs(
        self, request: Request, token: AccessToken
    ) -> Response:
        query_value = request.query_params.get("organisation", "")
        organisation = (
            query_value if token.role == "operator" else token.organisation
        )
        limit = int(
            self._parse_query_number(request, "limit", 100.0, MAX_LISTED_JOBS)
        )
        reply = await self._schedulers.call(
            ListJobs(organisation, limit), timeout_s=CALL_TIMEOUT_S
        )
        return make_json_response(expect_reply(reply, JobList))

    async def _get_visible_job(
        self, job_id: str, token: AccessToken
    ) -> JobStatus:
        """Returns the status of a job that the token may see.

        A job of another organisation gives the same error, in code and text,
        as a job that the schedulers do not know.
        """
        reply = await self._schedulers.call(
            WaitJob(job_id), timeout_s=CALL_TIMEOUT_S
        )
        status = expect_reply(reply, JobStatus)
        if token.role == "caller" and status.organisation != token.organisation:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        return status

    async def _wait_for_outcome(
        self, request: Request, status: JobStatus, wait_s: float
    ) -> JobStatus:
        """Waits for a job's outcome, from whichever scheduler reports it.

        The wait ends early if other callers need the connection.
        """
        server_request: http_server.Request = request.scope["extensions"][
            SERVER_REQUEST
        ]
        with server_request.move_on_after(wait_s):
            async for new_status in self._poll_status(status, wait_s):
                status = new_status
        return status

    async def _poll_status(
        self, status: JobStatus, wait_s: float
    ) -> AsyncIterator[JobStatus]:
        """Yields a job's status from call to call, up to its outcome."""
        deadline_s = time.monotonic() + wait_s
        while not status.outcome:
            wait_end_s = min(deadline_s, self._drain_deadline_s)
            remaining_s = wait_end_s - time.monotonic()
            if remaining_s <= 0:
                break
            call_wait_s = min(remaining_s, MAX_CALL_WAIT_S)
            try:
                reply = await self._schedulers.call(
                    WaitJob(status.job_id, call_wait_s),
                    timeout_s=call_wait_s + CALL_TIMEOUT_S,
                )
                status = expect_reply(reply, JobStatus)
                yield status
            except (UnavailableError, UnknownJobError):
                await anyio.sleep(WAIT_RETRY_INTERVAL_S)

    def _make_submit_response(self, status: JobStatus, job: Job) -> Response:
        self._events.emit(
            "request.answered",
            job=status.job_id,
            organisation=job.organisation,
            cause=status.outcome or status.phase,
        )
        return make_json_response(status, 200 if status.outcome else 202)

    # Routes of operators

    async def _get_rules(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        return make_json_response(await self._fetch(GetRules(), RulesStatus))

    async def _publish_rules(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        body = await request.body()
        message = PublishRules(body.decode(errors="replace"), token.role)
        reply = await self._schedulers.call_local(
            message, timeout_s=CALL_TIMEOUT_S
        )
        return make_json_response(expect_reply(reply, RulesStatus))

    async def _get_fleet(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        zone = request.query_params.get("availability_zone", "")
        return make_json_response(
            await self._schedulers.call(
                GetFleet(zone), timeout_s=CALL_TIMEOUT_S
            )
        )

    async def _get_instances(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        return make_json_response(
            await self._schedulers.call(
                GetInstances(), timeout_s=CALL_TIMEOUT_S
            )
        )

    async def _drain_endpoint(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        worker = request.path_params["worker"]
        return make_json_response(
            await self._schedulers.call(
                DrainEndpoint(worker), timeout_s=CALL_TIMEOUT_S
            )
        )

    async def _get_events(
        self, request: Request, token: AccessToken
    ) -> Response:
        """Returns new events of this entry and, if reachable, its scheduler."""
        require_operator(token)
        entry_sequence = int(
            self._parse_query_number(request, "after", 0.0, 1e18)
        )
        scheduler_sequence = int(
            self._parse_query_number(request, "scheduler_after", 0.0, 1e18)
        )
        events = self._events.list_events_after(entry_sequence)
        try:
            reply = await self._schedulers.call_local(
                GetEvents(scheduler_sequence), timeout_s=CALL_TIMEOUT_S
            )
            encoded_events = expect_reply(reply, EventList).events
            events += msgspec.json.decode(encoded_events, type=list[Event])
        except LinkError:
            pass
        events.sort(key=lambda event: event.sort_key)
        return make_json_response(events)

    async def _get_ready(self, request: Request) -> Response:
        """Reports to the load balancer whether the entry takes requests."""
        try:
            if self._drain_deadline_s < math.inf:
                raise NotReadyError("this instance is draining")
            await self._schedulers.call_local(
                GetRules(), timeout_s=CALL_TIMEOUT_S
            )
        except LagoonbeamError as error:
            return make_problem_response(error)
        return make_json_response({"ready": True})

    async def _fetch(self, message: Message, reply_type: type[Any]) -> Any:
        reply = await self._schedulers.call(message, timeout_s=CALL_TIMEOUT_S)
        return expect_reply(reply, reply_type)

    # Request parsing

    def _parse_wait_s(self, request: Request) -> float:
        max_wait_s = self._settings.limits.wait_s
        return self._parse_query_number(request, "wait_s", 0.0, max_wait_s)

    def _parse_query_number(
        self, request: Request, name: str, default: float, maximum: float
    ) -> float:
        text = request.query_params.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= maximum:
            raise InvalidRequestError(
                f"{name}: got {text!r}, expected a number from 0 to {maximum:g}"
            )
        return value
