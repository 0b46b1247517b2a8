from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from lagoonbeam.core.http11 import Response
from lagoonbeam.core.http_server import Request
from lagoonbeam.errors import StoreBusyError
from lagoonbeam.site.appender import JournalAppender
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.interface import JobInterface
from lagoonbeam.site.journal import JournalFollower
from lagoonbeam.site.model import Configuration, End, Organisation
from lagoonbeam.site.ports import Writer
from lagoonbeam.site.records import (
    Placement,
    RunEnd,
    RunsEnded,
    RunsPlaced,
    TermRenewed,
    encode_record,
)
from lagoonbeam.site.service import JobService
from tests.site.builders import make_configuration
from tests.site.test_journal import FakeStore

JOB = {"caller": "saw-3", "kind": "q1", "idempotent": True}
ARMOR, VESTNES = "key", "key-of-vestnes"


class Scene:
    """An interface on a journal in memory."""

    def __init__(self) -> None:
        decisions = DecisionLog("n0", "z1", descriptor=2)
        self.store = FakeStore()
        self.follower = JournalFollower(self.store, decisions)
        self.appender = JournalAppender(self.store, Writer("n0"), self.follower)
        self.service = JobService(self.follower, self.appender, decisions)
        plain = make_configuration()
        vestnes = Organisation("vestnes", frozenset({VESTNES}))
        organisations = {**plain.organisations, "vestnes": vestnes}
        self.service.configuration = Configuration(
            1, plain.routes, organisations
        )
        self.interface = JobInterface(self.service, decisions)

    async def call(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        token: str = ARMOR,
        key: str = "",
    ) -> Response:
        headers = {"authorization": f"Bearer {token}"}
        if key:
            headers["idempotency-key"] = key
        content = json.dumps(body).encode() if body is not None else b""
        request = Request(method, target, headers, content)
        return await self.interface.answer(request)

    async def submit(self, **fields: Any) -> dict[str, Any]:
        response = await self.call("POST", "/v1/jobs", {**JOB, **fields})
        assert response.status in (200, 202), response.body
        answer: dict[str, Any] = json.loads(response.body)
        return answer

    def finish(self, job_id: str) -> None:
        """Runs a job's only task, as the scheduler notes it."""
        task = f"{job_id}.0.0.0"
        self.follower.state.apply(
            RunsPlaced((Placement(task, 1, "w0", 1),)),
        )
        self.follower.state.apply(RunsEnded((RunEnd(task, 1, End.DONE),)))


def play(scenario: Callable[[Scene], Awaitable[None]]) -> None:
    async def run() -> None:
        scene = Scene()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.follower.run)
            tasks.start_soon(scene.appender.run)
            await scene.follower.catch_up(5.0)
            await scenario(scene)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def code(response: Response) -> str:
    assert response.headers["Content-Type"] == "application/problem+json"
    found: str = json.loads(response.body)["code"]
    return found


def test_job_of_steps_is_accepted_followed_and_listed() -> None:
    async def scenario(scene: Scene) -> None:
        steps = [{"tasks": 2}, {"after": [0]}]
        answer = await scene.submit(steps=steps)
        assert (answer["phase"], answer["outcome"]) == ("queued", "")
        assert [step["tasks"] for step in answer["steps"]] == [2, 1]
        path = f"/v1/jobs/{answer['job_id']}"
        followed = await scene.call("GET", path)
        assert followed.status == 202
        assert json.loads(followed.body) == answer
        listed = await scene.call("GET", "/v1/jobs?limit=5")
        assert json.loads(listed.body)["jobs"] == [answer]

    play(scenario)


def test_wait_ends_with_the_job() -> None:
    async def scenario(scene: Scene) -> None:
        answer = await scene.submit()
        path = f"/v1/jobs/{answer['job_id']}?wait_s=20"
        async with anyio.create_task_group() as tasks:

            async def finish() -> None:
                await anyio.sleep(0.05)
                scene.finish(answer["job_id"])

            tasks.start_soon(finish)
            with anyio.fail_after(10):
                response = await scene.call("GET", path)
        assert response.status == 200
        assert json.loads(response.body)["outcome"] == "completed"

    play(scenario)


def test_same_key_is_the_same_job_and_another_body_is_refused() -> None:
    async def scenario(scene: Scene) -> None:
        for _ in range(2):
            response = await scene.call("POST", "/v1/jobs", JOB, key="k")
            assert response.status == 202
        assert len(scene.follower.state.jobs) == 1
        other = {**JOB, "payload": "x"}
        refused = await scene.call("POST", "/v1/jobs", other, key="k")
        assert code(refused) == "key_reused"

    play(scenario)


def test_jobs_of_other_organisations_are_hidden() -> None:
    async def scenario(scene: Scene) -> None:
        answer = await scene.submit()
        path = f"/v1/jobs/{answer['job_id']}"
        for method in ("GET", "DELETE"):
            hidden = await scene.call(method, path, token=VESTNES)
            assert code(hidden) == "unknown_job"
        listed = await scene.call("GET", "/v1/jobs", token=VESTNES)
        assert json.loads(listed.body) == {"jobs": []}

    play(scenario)


def test_cancelled_job_says_so() -> None:
    async def scenario(scene: Scene) -> None:
        answer = await scene.submit()
        path = f"/v1/jobs/{answer['job_id']}"
        response = await scene.call("DELETE", path)
        assert json.loads(response.body)["outcome"] == "cancelled"

    play(scenario)


def test_cancelled_job_says_so_though_others_wrote_before() -> None:
    async def scenario(scene: Scene) -> None:
        answer = await scene.submit()
        scene.store.records.append(encode_record(TermRenewed(1)))
        response = await scene.call("DELETE", f"/v1/jobs/{answer['job_id']}")
        assert json.loads(response.body)["outcome"] == "cancelled"

    play(scenario)


@pytest.mark.parametrize(
    ("method", "target", "body", "expected"),
    [
        ("POST", "/v1/jobs", {**JOB, "kind": "melting"}, "unknown_kind"),
        ("POST", "/v1/jobs", {"kind": "q1"}, "invalid_request"),
        ("POST", "/v1/jobs?wait_s=soon", JOB, "invalid_request"),
        ("GET", "/v1/jobs?limit=-1", None, "invalid_request"),
        ("GET", "/v1/jobs/5c0e7a21d94b36f8", None, "unknown_job"),
        ("GET", "/v2/jobs", None, "unknown_job"),
    ],
)
def test_bad_call_is_a_typed_error(
    method: str, target: str, body: Any, expected: str
) -> None:
    async def scenario(scene: Scene) -> None:
        assert code(await scene.call(method, target, body)) == expected

    play(scenario)


def test_unknown_token_and_method() -> None:
    async def scenario(scene: Scene) -> None:
        refused = await scene.call("GET", "/v1/jobs", token="other")
        assert (refused.status, code(refused)) == (401, "unauthorized")
        metrics = await scene.call("GET", "/metrics", token="")
        assert b'refusals_total{reason="unauthorized"} 1.0' in metrics.body
        assert (await scene.call("PUT", "/v1/jobs")).status == 405

    play(scenario)


def test_refusal_of_the_store_says_that_nothing_ran() -> None:
    async def scenario(scene: Scene) -> None:
        scene.store.failures = [StoreBusyError("busy")] * 100
        refused = await scene.call("POST", "/v1/jobs", JOB)
        problem = json.loads(refused.body)
        assert refused.status == 503
        assert (problem["code"], problem["ran"]) == ("log_unavailable", "no")
        assert int(refused.headers["Retry-After"]) >= 1

    play(scenario)


def test_ready_and_metrics_need_no_token() -> None:
    async def scenario(scene: Scene) -> None:
        ready = await scene.call("GET", "/v1/ready", token="")
        assert json.loads(ready.body) == {"ready": True}
        metrics = await scene.call("GET", "/metrics", token="")
        assert b"lagoonbeam_term" in metrics.body
        scene.service.is_draining = True
        leaving = await scene.call("GET", "/v1/ready", token="")
        assert code(leaving) == "draining"

    play(scenario)
