"""Tests of the entry's HTTP API against a running cluster.

Invalid requests return problem documents and leave the entry able to serve.
"""

from __future__ import annotations

import http.client
import socket
import time
from typing import Any

import httpx
import pytest

from harness.cluster import Cluster
from tests.conftest import make_job_body, make_rules_document

ARMOR_TOKEN = "token-armor"


def submit_and_wait(
    cluster: Cluster, body: Any, **options: Any
) -> httpx.Response:
    options.setdefault("token", ARMOR_TOKEN)
    return cluster.call_entry(
        "POST", "/v1/jobs?wait_s=20", json=body, **options
    )


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("change", "code", "status"),
        [
            ({"caller": ""}, "invalid_request", 400),
            ({"caller": 5}, "invalid_request", 400),
            ({"unknown": 1}, "invalid_request", 400),
            ({"shape": {"members": 0}}, "invalid_request", 400),
            ({"shape": {"members": 129}}, "invalid_request", 400),
            ({"shape": {"adjacency": "row"}}, "invalid_request", 400),
            ({"declared_run_s": -1}, "invalid_request", 400),
            ({"urgency": "now"}, "invalid_request", 400),
            ({"kind": "melting"}, "unknown_kind", 422),
            ({"availability_zone": "z9"}, "invalid_request", 400),
            ({"shape": {"accelerators": 16}}, "impossible_shape", 422),
            ({"shape": {"members": 100}}, "impossible_shape", 422),
            ({"shape": {"memory_bytes": 1 << 45}}, "impossible_shape", 422),
        ],
    )
    def test_invalid_submission_returns_its_problem_document(
        self, cluster: Cluster, change: dict[str, Any], code: str, status: int
    ) -> None:
        reply = submit_and_wait(cluster, make_job_body(**change))
        problem = reply.json()
        assert (problem["code"], reply.status_code) == (code, status)
        assert reply.headers["content-type"] == "application/problem+json"
        assert problem["ran"] == "no"
        assert problem["detail"]

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"null"])
    def test_malformed_body_is_refused(
        self, cluster: Cluster, body: bytes
    ) -> None:
        reply = cluster.call_entry(
            "POST", "/v1/jobs", token=ARMOR_TOKEN, content=body
        )
        assert reply.json()["code"] == "invalid_request"

    def test_oversize_body_is_refused(self, cluster: Cluster) -> None:
        body = b" " * 300_000
        reply = cluster.call_entry(
            "POST", "/v1/jobs", token=ARMOR_TOKEN, content=body
        )
        assert reply.json()["code"] == "body_too_large"

    @pytest.mark.parametrize("token", ["x", "token-armo"])
    def test_unknown_token_is_refused(
        self, cluster: Cluster, token: str
    ) -> None:
        reply = submit_and_wait(cluster, make_job_body(), token=token)
        assert reply.json()["code"] == "unauthorized"

    def test_caller_token_is_forbidden_on_operator_routes(
        self, cluster: Cluster
    ) -> None:
        reply = cluster.call_entry("GET", "/v1/fleet", token=ARMOR_TOKEN)
        assert reply.json()["code"] == "forbidden"

    def test_organisation_missing_from_the_rules_is_refused(
        self, cluster: Cluster
    ) -> None:
        rules = make_rules_document(["z1", "z2"])
        version = cluster.call_entry("GET", "/v1/rules").json()["version"]
        reduced_rules = {**rules, "based_on": version}
        reduced_rules["organisations"] = rules["organisations"][:1]
        cluster.publish_rules(reduced_rules)
        reply = submit_and_wait(cluster, make_job_body(), token="token-vestnes")
        cluster.publish_rules({**rules, "based_on": version + 1})
        assert reply.json()["code"] == "unknown_organisation"

    def test_idempotency_key_with_another_body_is_refused(
        self, cluster: Cluster
    ) -> None:
        headers = {"idempotency-key": "reused"}
        first = submit_and_wait(
            cluster, make_job_body(answer="1"), headers=headers
        )
        second = submit_and_wait(
            cluster, make_job_body(answer="2"), headers=headers
        )
        assert first.json()["outcome"] == "completed"
        assert second.json()["code"] == "key_reused"

    @pytest.mark.parametrize("wait", ["soon", "-1", "1e9"])
    def test_invalid_wait_is_refused(self, cluster: Cluster, wait: str) -> None:
        reply = cluster.call_entry(
            "POST",
            f"/v1/jobs?wait_s={wait}",
            token=ARMOR_TOKEN,
            json=make_job_body(),
        )
        assert reply.json()["code"] == "invalid_request"

    def test_truncated_and_slow_bodies_do_not_block_the_entry(
        self, cluster: Cluster
    ) -> None:
        port = next(iter(cluster.instances.values())).entry_port
        head = (
            "POST /v1/jobs HTTP/1.1\r\nhost: a\r\n"
            f"authorization: Bearer {ARMOR_TOKEN}\r\n"
            "content-length: 100\r\n\r\n{"
        )
        with socket.create_connection(("127.0.0.1", port)) as truncated:
            truncated.sendall(head.encode())
        with socket.create_connection(("127.0.0.1", port)) as slow:
            slow.settimeout(20)
            slow.sendall(head.encode())
            assert b" 400 " in slow.recv(65_536)
        assert (
            submit_and_wait(cluster, make_job_body()).json()["outcome"]
            == "completed"
        )

    @pytest.mark.parametrize("body_delay_s", [0.0, 0.1, None])
    def test_connection_refused_before_its_body_arrived_is_usable_or_closed(
        self, cluster: Cluster, body_delay_s: float | None
    ) -> None:
        """Clients such as httpx send head and body one after the other."""
        port = cluster.instances["z1-0"].entry_port
        head = (
            "POST /v1/jobs HTTP/1.1\r\nhost: a\r\n"
            "authorization: Bearer unknown\r\ncontent-length: 2\r\n\r\n"
        )
        with socket.create_connection(("127.0.0.1", port), timeout=5) as stream:
            stream.sendall(head.encode())
            if body_delay_s is not None:
                time.sleep(body_delay_s)
                stream.sendall(b"{}")
            first = read_response(stream)
            assert first.status == 401
            assert first.will_close == (body_delay_s is None)
            if not first.will_close:
                stream.sendall(head.encode() + b"{}")
                assert read_response(stream).status == 401


def read_response(stream: socket.socket) -> http.client.HTTPResponse:
    """Reads one response whole."""
    response = http.client.HTTPResponse(stream)
    response.begin()
    response.read()
    return response


class TestJobs:
    def test_other_organisations_jobs_are_hidden(
        self, cluster: Cluster
    ) -> None:
        job_id = submit_and_wait(cluster, make_job_body()).json()["job_id"]
        path = f"/v1/jobs/{job_id}"
        assert (
            cluster.call_entry("GET", path, token=ARMOR_TOKEN).status_code
            == 200
        )
        hidden = cluster.call_entry("GET", path, token="token-vestnes")
        assert hidden.json()["code"] == "unknown_job"
        listed = cluster.call_entry(
            "GET", "/v1/jobs", token="token-vestnes"
        ).json()
        assert all(job["organisation"] == "vestnes" for job in listed["jobs"])

    def test_status_poll_waits_for_the_outcome(self, cluster: Cluster) -> None:
        reply = cluster.call_entry(
            "POST",
            "/v1/jobs",
            token=ARMOR_TOKEN,
            json=make_job_body(run_s=0.5),
        )
        assert reply.status_code == 202
        path = f"/v1/jobs/{reply.json()['job_id']}?wait_s=20"
        answer = cluster.call_entry("GET", path, token=ARMOR_TOKEN, timeout=30)
        assert answer.json()["outcome"] == "completed"

    @pytest.mark.parametrize("instance", ["z1-0", "z1-1", "z2-0", "z2-1"])
    def test_running_job_is_cancelled_from_any_instance(
        self, cluster: Cluster, instance: str
    ) -> None:
        reply = cluster.call_entry(
            "POST",
            "/v1/jobs",
            token=ARMOR_TOKEN,
            json=make_job_body(run_s=30),
        )
        path = f"/v1/jobs/{reply.json()['job_id']}"
        cluster.call_entry("DELETE", path, token=ARMOR_TOKEN, instance=instance)
        answer = cluster.call_entry(
            "GET", f"{path}?wait_s=20", token=ARMOR_TOKEN
        )
        assert answer.json()["outcome"] in ("cancelled", "did_not_run")

    def test_job_whose_task_fails_has_outcome_failed(
        self, cluster: Cluster
    ) -> None:
        reply = submit_and_wait(
            cluster, make_job_body(fail=True, idempotent=False)
        )
        assert reply.json()["outcome"] == "failed"

    def test_job_that_cannot_start_within_its_bound_did_not_run(
        self, cluster: Cluster
    ) -> None:
        blocking_job_ids = [
            cluster.call_entry(
                "POST",
                "/v1/jobs",
                token="token-vestnes",
                json=make_job_body(
                    run_s=30,
                    idempotent=False,
                    shape={"members": 8},
                    availability_zone="z1",
                ),
            ).json()["job_id"],
        ]
        body = make_job_body(
            shape={"members": 8},
            availability_zone="z1",
            idempotent=False,
            start_within_s=0.5,
        )
        reply = submit_and_wait(cluster, body, token="token-vestnes")
        for job_id in blocking_job_ids:
            path = f"/v1/jobs/{job_id}"
            cluster.call_entry("DELETE", path, token="token-vestnes")
        answer = reply.json()
        refused = answer.get("code") == "deadline_unreachable"
        assert refused or answer["outcome"] == "did_not_run"


class TestRules:
    def test_second_of_two_publications_of_one_version_conflicts(
        self, cluster: Cluster
    ) -> None:
        version = cluster.call_entry("GET", "/v1/rules").json()["version"]
        document = make_rules_document(["z1", "z2"], based_on=version)
        first = cluster.call_entry("PUT", "/v1/rules", json=document)
        second = cluster.call_entry(
            "PUT", "/v1/rules", json=document, instance="z2-1"
        )
        assert first.json()["version"] == version + 1
        assert second.json()["code"] == "rules_conflict"

    def test_guarantee_larger_than_the_fleet_is_refused(
        self, cluster: Cluster
    ) -> None:
        version = cluster.call_entry("GET", "/v1/rules").json()["version"]
        document = make_rules_document(["z1", "z2"], based_on=version)
        document["fleet"] = [
            {"availability_zone": "z1", "racks": 1, "workers": 2}
        ]
        reply = cluster.call_entry("PUT", "/v1/rules", json=document)
        assert reply.json()["code"] == "guarantee_infeasible"
        assert "armor" in reply.json()["detail"]

    def test_invalid_rules_document_is_refused(self, cluster: Cluster) -> None:
        reply = cluster.call_entry("PUT", "/v1/rules", json={"based_on": 0})
        assert reply.json()["code"] == "rules_invalid"


class TestDrain:
    def test_drained_endpoint_receives_no_new_tasks(
        self, cluster: Cluster
    ) -> None:
        reply = cluster.call_entry("POST", "/v1/endpoints/z2-w0/drain")
        assert reply.is_success
        event_count_before = len(cluster.read_worker_history())
        for _ in range(3):
            submit_and_wait(cluster, make_job_body(availability_zone="z2"))
        start_events = [
            event
            for event in cluster.read_worker_history()[event_count_before:]
            if event["event"] == "started"
        ]
        assert {event["worker"] for event in start_events} == {"z2-w1"}

    def test_drain_of_an_unknown_endpoint_is_refused(
        self, cluster: Cluster
    ) -> None:
        reply = cluster.call_entry("POST", "/v1/endpoints/nowhere/drain")
        assert reply.json()["code"] == "unknown_endpoint"
