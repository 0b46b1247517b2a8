"""The HTTP interface to callers and operators."""

from __future__ import annotations

import itertools
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

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
from lagoonbeam.entry.access import (
    Access,
    require_operator,
    require_organisation,
)
from lagoonbeam.entry.backend import Backend
from lagoonbeam.entry.problems import make_problem
from lagoonbeam.entry.requests import parse_job
from lagoonbeam.errors import (
    BodyTooLargeError,
    InvalidRequestError,
    LagoonbeamError,
    LinkError,
    NotReadyError,
    TooManyRequestsError,
    UnavailableError,
    UnknownJobError,
)

CALL_TIMEOUT_S = 5.0
"""Deadline of a call to a scheduler, beside the wait it asks for."""
WAIT_SLICE_S = 5.0
"""Longest wait of one call; a longer one is made of several."""
RETRY_S = 0.1
"""Pause before the schedulers are asked again for a job's answer."""
MAX_LISTED = 1_000

Handler = Callable[[Request, AccessToken], Awaitable[Response]]


class EntryApplication:
    """Serves the HTTP interface.

    Args:
        settings: The entry's settings.
        backend: The schedulers.
        events: Where events go.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        backend: Backend,
        events: EventLog,
        metrics: StatsdMetrics,
    ):
        self.open_requests = 0
        self._drain_until_s = math.inf
        self._settings = settings
        self._backend = backend
        self._events = events
        self._metrics = metrics
        self._access = Access(settings.tokens)

    def drain(self, *, within_s: float) -> None:
        """Lets open requests wait no longer than that for their answers."""
        self._drain_until_s = time.monotonic() + within_s

    def build(self) -> Starlette:
        """Returns the ASGI application."""
        routes: list[tuple[str, str, Handler]] = [
            ("POST", "/v1/jobs", self._submit),
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
                    Route(path, self._guard(handler), methods=[method])
                    for method, path, handler in routes
                ),
                Route("/v1/ready", self._get_ready),
            ]
        )

    def _guard(
        self, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        """Wraps a handler with access, the bound on requests and errors."""

        async def guarded(request: Request) -> Response:
            self.open_requests += 1
            started_s = time.monotonic()
            try:
                header = request.headers.get("authorization", "")
                token = self._access.identify(header)
                if self.open_requests > self._settings.limits.open_requests:
                    raise TooManyRequestsError(
                        f"{self.open_requests} requests are open, expected at"
                        f" most {self._settings.limits.open_requests}",
                        retry_after_s=1.0,
                    )
                return await handler(request, token)
            except LagoonbeamError as error:
                self._metrics.count(f"http.{error.code}")
                return make_problem(error)
            finally:
                self.open_requests -= 1
                self._metrics.time("http.request", time.monotonic() - started_s)

        return guarded

    # Callers

    async def _submit(self, request: Request, token: AccessToken) -> Response:
        organisation = require_organisation(token)
        wait_s = self._read_wait(request)
        body = await self._read_body(request)
        key = request.headers.get("idempotency-key", "").strip('"')
        job = parse_job(body, organisation=organisation, key=key)
        self._events.emit(
            "request.received", job=job.job_id, organisation=organisation
        )
        try:
            reply = await self._backend.call(
                SubmitJob(job), timeout_s=CALL_TIMEOUT_S
            )
        except LagoonbeamError as error:
            self._events.emit(
                "request.refused",
                job=job.job_id,
                organisation=organisation,
                cause=error.code,
            )
            return make_problem(error, job_id=job.job_id)
        status = _expect(reply, JobStatus)
        if wait_s and not status.outcome:
            status = await self._wait(status, wait_s)
        return self._answer(status, job)

    async def _get_job(self, request: Request, token: AccessToken) -> Response:
        wait_s = self._read_wait(request)
        job_id = request.path_params["job_id"]
        status = await self._find(job_id, token)
        if wait_s and not status.outcome:
            status = await self._wait(status, wait_s)
        return _make_json(status)

    async def _cancel_job(
        self, request: Request, token: AccessToken
    ) -> Response:
        job_id = request.path_params["job_id"]
        await self._find(job_id, token)
        reply = await self._backend.call(
            CancelJob(job_id), timeout_s=CALL_TIMEOUT_S
        )
        return _make_json(_expect(reply, JobStatus))

    async def _list_jobs(
        self, request: Request, token: AccessToken
    ) -> Response:
        wanted = request.query_params.get("organisation", "")
        organisation = (
            wanted if token.role == "operator" else token.organisation
        )
        limit = int(self._read_number(request, "limit", 100.0, MAX_LISTED))
        reply = await self._backend.call(
            ListJobs(organisation, limit), timeout_s=CALL_TIMEOUT_S
        )
        return _make_json(_expect(reply, JobList))

    async def _find(self, job_id: str, token: AccessToken) -> JobStatus:
        """Returns a job's status if the token may see it."""
        reply = await self._backend.call(
            WaitJob(job_id), timeout_s=CALL_TIMEOUT_S
        )
        status = _expect(reply, JobStatus)
        if token.role == "caller" and status.organisation != token.organisation:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        return status

    async def _wait(self, status: JobStatus, wait_s: float) -> JobStatus:
        """Waits for a job's outcome, whichever scheduler tells it."""
        deadline_s = time.monotonic() + wait_s
        while not status.outcome:
            last_s = min(deadline_s, self._drain_until_s)
            left_s = last_s - time.monotonic()
            if left_s <= 0:
                break
            slice_s = min(left_s, WAIT_SLICE_S)
            try:
                reply = await self._backend.call(
                    WaitJob(status.job_id, slice_s),
                    timeout_s=slice_s + CALL_TIMEOUT_S,
                )
                status = _expect(reply, JobStatus)
            except (UnavailableError, UnknownJobError):
                await anyio.sleep(RETRY_S)
        return status

    def _answer(self, status: JobStatus, job: Job) -> Response:
        self._events.emit(
            "request.answered",
            job=status.job_id,
            organisation=job.organisation,
            cause=status.outcome or status.phase,
        )
        return _make_json(status, 200 if status.outcome else 202)

    # Operators

    async def _get_rules(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        return _make_json(await self._ask(GetRules(), RulesStatus))

    async def _publish_rules(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        body = await self._read_body(request)
        message = PublishRules(body.decode(errors="replace"), token.role)
        reply = await self._backend.call_first(
            message, timeout_s=CALL_TIMEOUT_S
        )
        return _make_json(_expect(reply, RulesStatus))

    async def _get_fleet(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        zone = request.query_params.get("availability_zone", "")
        return _make_json(
            await self._backend.call(GetFleet(zone), timeout_s=CALL_TIMEOUT_S)
        )

    async def _get_instances(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        return _make_json(
            await self._backend.call(GetInstances(), timeout_s=CALL_TIMEOUT_S)
        )

    async def _drain_endpoint(
        self, request: Request, token: AccessToken
    ) -> Response:
        require_operator(token)
        worker = request.path_params["worker"]
        return _make_json(
            await self._backend.call(
                DrainEndpoint(worker), timeout_s=CALL_TIMEOUT_S
            )
        )

    async def _get_events(
        self, request: Request, token: AccessToken
    ) -> Response:
        """Returns the events of this entry and of its scheduler."""
        require_operator(token)
        after = int(self._read_number(request, "after", 0.0, 1e18))
        others = int(self._read_number(request, "scheduler_after", 0.0, 1e18))
        events = self._events.list_events_after(after)
        try:
            reply = await self._backend.call_first(
                GetEvents(others), timeout_s=CALL_TIMEOUT_S
            )
            data = _expect(reply, EventList).events
            events += msgspec.json.decode(data, type=list[Event])
        except LinkError:
            pass
        events.sort(key=lambda event: event.sort_key)
        return _make_json(events)

    async def _get_ready(self, request: Request) -> Response:
        """Tells the platform's balancer whether to send requests here."""
        try:
            if self._drain_until_s < math.inf:
                raise NotReadyError("the instance is leaving")
            await self._backend.call_first(GetRules(), timeout_s=CALL_TIMEOUT_S)
        except LagoonbeamError as error:
            return make_problem(error)
        return _make_json({"ready": True})

    async def _ask(self, message: Message, kind: type[Any]) -> Any:
        reply = await self._backend.call(message, timeout_s=CALL_TIMEOUT_S)
        return _expect(reply, kind)

    # Reading requests

    async def _read_body(self, request: Request) -> bytes:
        """Reads a body within the bounds of size and time.

        Raises:
            BodyTooLargeError: If it is too large.
            InvalidRequestError: If it is too slow or cut off.
        """
        limits = self._settings.limits
        chunks = []
        size = 0
        try:
            with anyio.fail_after(limits.header_timeout_s):
                async for chunk in request.stream():
                    size += len(chunk)
                    if size > limits.body_bytes:
                        raise BodyTooLargeError(
                            f"expected a body of at most {limits.body_bytes}"
                            " bytes"
                        )
                    chunks.append(chunk)
        except TimeoutError as error:
            raise InvalidRequestError(
                f"the body took longer than {limits.header_timeout_s} s"
            ) from error
        except ClientDisconnect as error:
            raise InvalidRequestError("the body was cut off") from error
        return b"".join(itertools.chain(chunks))

    def _read_wait(self, request: Request) -> float:
        longest_s = self._settings.limits.wait_s
        return self._read_number(request, "wait_s", 0.0, longest_s)

    def _read_number(
        self, request: Request, name: str, default: float, largest: float
    ) -> float:
        text = request.query_params.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= largest:
            raise InvalidRequestError(
                f"{name}: got {text!r}, expected a number from 0 to {largest:g}"
            )
        return value


def _expect(reply: Message, kind: type[Any]) -> Any:
    if not isinstance(reply, kind):
        raise InvalidRequestError(
            f"got {type(reply).__name__}, expected {kind.__name__}"
        )
    return reply


def _make_json(value: Any, status_code: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value),
        status_code=status_code,
        media_type="application/json",
    )
