from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import Request
from lagoonbeam.errors import StoreBusyError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.job_api import JobApi
from lagoonbeam.site.job_service import JobService
from lagoonbeam.site.journal_appender import JournalAppender
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.model import Configuration, Organisation, RunEndReason
from lagoonbeam.site.platform_interface import JournalWriter
from lagoonbeam.site.records import (
    JobAccepted,
    Placement,
    RunEnd,
    RunsEnded,
    RunsPlaced,
    TermRenewed,
    encode_record,
)
from tests.site.builders import make_configuration, make_job
from tests.site.test_journal_appender import FakeJournalStore

JOB_BODY = {"caller": "saw-3", "kind": "q1", "idempotent": True}
ARMOR_KEY, VESTNES_KEY = "key", "key-of-vestnes"


class ApiFixture:
    """A job API on a journal in memory."""

    def __init__(self) -> None:
        decisions = DecisionLog("n0", "z1", descriptor=2)
        self.store = FakeJournalStore()
        self.follower = JournalFollower(self.store, decisions)
        self.appender = JournalAppender(
            self.store, JournalWriter("n0"), self.follower
        )
        self.service = JobService(self.follower, self.appender, decisions)
        default = make_configuration()
        vestnes = Organisation("vestnes", frozenset({VESTNES_KEY}))
        organisations = {**default.organisations, "vestnes": vestnes}
        self.service.configuration = Configuration(
            1, default.routes, organisations
        )
        self.api = JobApi(self.service, decisions)

    async def send_request(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        token: str = ARMOR_KEY,
        key: str = "",
    ) -> Response:
        headers = {"authorization": f"Bearer {token}"}
        if key:
            headers["idempotency-key"] = key
        content = json.dumps(body).encode() if body is not None else b""
        request = Request(method, target, headers, content)
        return await self.api.answer(request)

    async def submit(self, **fields: Any) -> dict[str, Any]:
        response = await self.send_request(
            "POST", "/v1/jobs", {**JOB_BODY, **fields}
        )
        assert response.status in (200, 202), response.body
        job: dict[str, Any] = json.loads(response.body)
        return job

    def complete_job(self, job_id: str) -> None:
        """Applies the records of a successful run of a job's only task."""
        task_id = f"{job_id}.0.0.0"
        self.follower.state.apply(
            RunsPlaced((Placement(task_id, 1, "w0", 1),)),
        )
        self.follower.state.apply(
            RunsEnded((RunEnd(task_id, 1, RunEndReason.DONE),))
        )


def run_scenario(scenario: Callable[[ApiFixture], Awaitable[None]]) -> None:
    async def run() -> None:
        fixture = ApiFixture()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.follower.run)
            tasks.start_soon(fixture.appender.run)
            await fixture.follower.catch_up(5.0)
            await scenario(fixture)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def get_error_code(response: Response) -> str:
    assert response.headers["Content-Type"] == "application/problem+json"
    error_code: str = json.loads(response.body)["code"]
    return error_code


def test_submitted_job_can_be_polled_and_listed() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        steps = [{"tasks": 2}, {"after": [0]}]
        job = await fixture.submit(steps=steps)
        assert (job["phase"], job["outcome"]) == ("queued", "")
        assert [step["tasks"] for step in job["steps"]] == [2, 1]
        path = f"/v1/jobs/{job['job_id']}"
        polled = await fixture.send_request("GET", path)
        assert polled.status == 202
        assert json.loads(polled.body) == job
        listed = await fixture.send_request("GET", "/v1/jobs?limit=5")
        assert json.loads(listed.body)["jobs"] == [job]

    run_scenario(scenario)


def test_waiting_request_returns_when_the_job_ends() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        job = await fixture.submit()
        path = f"/v1/jobs/{job['job_id']}?wait_s=20"
        async with anyio.create_task_group() as tasks:

            async def complete_job() -> None:
                await anyio.sleep(0.05)
                fixture.complete_job(job["job_id"])

            tasks.start_soon(complete_job)
            with anyio.fail_after(10):
                response = await fixture.send_request("GET", path)
        assert response.status == 200
        assert json.loads(response.body)["outcome"] == "completed"

    run_scenario(scenario)


def test_idempotency_key_names_one_job_and_rejects_another_body() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        for _ in range(2):
            response = await fixture.send_request(
                "POST", "/v1/jobs", JOB_BODY, key="k"
            )
            assert response.status == 202
        assert len(fixture.follower.state.jobs) == 1
        other_body = {**JOB_BODY, "payload": "x"}
        refused = await fixture.send_request(
            "POST", "/v1/jobs", other_body, key="k"
        )
        assert get_error_code(refused) == "key_reused"

    run_scenario(scenario)


def test_jobs_of_other_organisations_are_hidden() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        job = await fixture.submit()
        path = f"/v1/jobs/{job['job_id']}"
        for method in ("GET", "DELETE"):
            hidden = await fixture.send_request(method, path, token=VESTNES_KEY)
            assert get_error_code(hidden) == "unknown_job"
        listed = await fixture.send_request(
            "GET", "/v1/jobs", token=VESTNES_KEY
        )
        assert json.loads(listed.body) == {"jobs": []}

    run_scenario(scenario)


def test_jobs_of_no_organisation_are_hidden() -> None:
    """They came by a public route, whose callers have no key."""

    async def scenario(fixture: ApiFixture) -> None:
        job = make_job("a" * 16, organisation="")
        fixture.follower.state.apply(JobAccepted(job))
        for method in ("GET", "DELETE"):
            path = f"/v1/jobs/{job.job_id}"
            hidden = await fixture.send_request(method, path)
            assert get_error_code(hidden) == "unknown_job"

    run_scenario(scenario)


def test_cancellation_is_reported() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        job = await fixture.submit()
        path = f"/v1/jobs/{job['job_id']}"
        response = await fixture.send_request("DELETE", path)
        assert json.loads(response.body)["outcome"] == "cancelled"

    run_scenario(scenario)


def test_cancellation_is_reported_after_append_of_another_writer() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        job = await fixture.submit()
        fixture.store.records.append(encode_record(TermRenewed(1)))
        response = await fixture.send_request(
            "DELETE", f"/v1/jobs/{job['job_id']}"
        )
        assert json.loads(response.body)["outcome"] == "cancelled"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "target", "body", "expected"),
    [
        ("POST", "/v1/jobs", {**JOB_BODY, "kind": "melting"}, "unknown_kind"),
        ("POST", "/v1/jobs", {"kind": "q1"}, "invalid_request"),
        ("POST", "/v1/jobs?wait_s=soon", JOB_BODY, "invalid_request"),
        ("GET", "/v1/jobs?limit=-1", None, "invalid_request"),
        ("GET", "/v1/jobs/5c0e7a21d94b36f8", None, "unknown_job"),
        ("GET", "/v2/jobs", None, "unknown_job"),
    ],
)
def test_invalid_request_returns_its_error_code(
    method: str, target: str, body: Any, expected: str
) -> None:
    async def scenario(fixture: ApiFixture) -> None:
        assert (
            get_error_code(await fixture.send_request(method, target, body))
            == expected
        )

    run_scenario(scenario)


def test_unknown_token_and_unsupported_method_are_refused() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        refused = await fixture.send_request("GET", "/v1/jobs", token="other")
        assert (refused.status, get_error_code(refused)) == (
            401,
            "unauthorized",
        )
        metrics = await fixture.send_request("GET", "/metrics", token="")
        assert b'refusals_total{reason="unauthorized"} 1.0' in metrics.body
        assert (await fixture.send_request("PUT", "/v1/jobs")).status == 405

    run_scenario(scenario)


def test_store_refusal_reports_that_the_job_did_not_run() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        fixture.store.append_errors = [StoreBusyError("busy")] * 100
        refused = await fixture.send_request("POST", "/v1/jobs", JOB_BODY)
        problem = json.loads(refused.body)
        assert refused.status == 503
        assert (problem["code"], problem["ran"]) == ("log_unavailable", "no")
        assert int(refused.headers["Retry-After"]) >= 1

    run_scenario(scenario)


def test_readiness_and_metrics_need_no_token() -> None:
    async def scenario(fixture: ApiFixture) -> None:
        ready = await fixture.send_request("GET", "/v1/ready", token="")
        assert json.loads(ready.body) == {"ready": True}
        metrics = await fixture.send_request("GET", "/metrics", token="")
        assert b"lagoonbeam_term" in metrics.body
        fixture.service.is_draining = True
        draining = await fixture.send_request("GET", "/v1/ready", token="")
        assert get_error_code(draining) == "draining"

    run_scenario(scenario)
