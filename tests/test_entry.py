"""Bad input at the border: each a typed error, and nothing is lost."""

from __future__ import annotations

import socket
from typing import Any

import httpx
import pytest

from harness.cluster import Cluster
from tests.conftest import make_job, make_rules

ARMOR = "token-armor"


def submit(cluster: Cluster, job: Any, **options: Any) -> httpx.Response:
    options.setdefault("token", ARMOR)
    return cluster.call_entry("POST", "/v1/jobs?wait_s=20", json=job, **options)


class TestBadInput:
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
    def test_bad_job_is_a_typed_error(
        self, cluster: Cluster, change: dict[str, Any], code: str, status: int
    ) -> None:
        reply = submit(cluster, make_job(**change))
        problem = reply.json()
        assert (problem["code"], reply.status_code) == (code, status)
        assert reply.headers["content-type"] == "application/problem+json"
        assert problem["ran"] == "no"
        assert problem["detail"]

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"null"])
    def test_malformed_body(self, cluster: Cluster, body: bytes) -> None:
        reply = cluster.call_entry(
            "POST", "/v1/jobs", token=ARMOR, content=body
        )
        assert reply.json()["code"] == "invalid_request"

    def test_oversize_body(self, cluster: Cluster) -> None:
        body = b" " * 300_000
        reply = cluster.call_entry(
            "POST", "/v1/jobs", token=ARMOR, content=body
        )
        assert reply.json()["code"] == "body_too_large"

    @pytest.mark.parametrize("token", ["x", "token-armo"])
    def test_wrong_token(self, cluster: Cluster, token: str) -> None:
        reply = submit(cluster, make_job(), token=token)
        assert reply.json()["code"] == "unauthorized"

    def test_caller_may_not_operate(self, cluster: Cluster) -> None:
        reply = cluster.call_entry("GET", "/v1/fleet", token=ARMOR)
        assert reply.json()["code"] == "forbidden"

    def test_unknown_organisation(self, cluster: Cluster) -> None:
        rules = make_rules(["z1", "z2"])
        version = cluster.call_entry("GET", "/v1/rules").json()["version"]
        without = {**rules, "based_on": version}
        without["organisations"] = rules["organisations"][:1]
        cluster.publish_rules(without)
        reply = submit(cluster, make_job(), token="token-vestnes")
        cluster.publish_rules({**rules, "based_on": version + 1})
        assert reply.json()["code"] == "unknown_organisation"

    def test_key_reused_with_another_body(self, cluster: Cluster) -> None:
        headers = {"idempotency-key": "reused"}
        first = submit(cluster, make_job(answer="1"), headers=headers)
        second = submit(cluster, make_job(answer="2"), headers=headers)
        assert first.json()["outcome"] == "completed"
        assert second.json()["code"] == "key_reused"

    @pytest.mark.parametrize("wait", ["soon", "-1", "1e9"])
    def test_bad_wait(self, cluster: Cluster, wait: str) -> None:
        reply = cluster.call_entry(
            "POST", f"/v1/jobs?wait_s={wait}", token=ARMOR, json=make_job()
        )
        assert reply.json()["code"] == "invalid_request"

    def test_truncated_and_slow_bodies(self, cluster: Cluster) -> None:
        port = next(iter(cluster.instances.values())).entry_port
        head = (
            "POST /v1/jobs HTTP/1.1\r\nhost: a\r\n"
            f"authorization: Bearer {ARMOR}\r\ncontent-length: 100\r\n\r\n{{"
        )
        with socket.create_connection(("127.0.0.1", port)) as truncated:
            truncated.sendall(head.encode())
        with socket.create_connection(("127.0.0.1", port)) as slow:
            slow.settimeout(20)
            slow.sendall(head.encode())
            assert b" 400 " in slow.recv(65_536)
        assert submit(cluster, make_job()).json()["outcome"] == "completed"


class TestJobs:
    def test_other_organisations_jobs_are_hidden(
        self, cluster: Cluster
    ) -> None:
        job_id = submit(cluster, make_job()).json()["job_id"]
        path = f"/v1/jobs/{job_id}"
        assert cluster.call_entry("GET", path, token=ARMOR).status_code == 200
        hidden = cluster.call_entry("GET", path, token="token-vestnes")
        assert hidden.json()["code"] == "unknown_job"
        listed = cluster.call_entry(
            "GET", "/v1/jobs", token="token-vestnes"
        ).json()
        assert all(j["organisation"] == "vestnes" for j in listed["jobs"])

    def test_submit_and_poll(self, cluster: Cluster) -> None:
        reply = cluster.call_entry(
            "POST", "/v1/jobs", token=ARMOR, json=make_job(run_s=0.5)
        )
        assert reply.status_code == 202
        path = f"/v1/jobs/{reply.json()['job_id']}?wait_s=20"
        answer = cluster.call_entry("GET", path, token=ARMOR, timeout=30)
        assert answer.json()["outcome"] == "completed"

    @pytest.mark.parametrize("instance", ["z1-0", "z1-1", "z2-0", "z2-1"])
    def test_cancel_a_running_job_from_anywhere(
        self, cluster: Cluster, instance: str
    ) -> None:
        reply = cluster.call_entry(
            "POST", "/v1/jobs", token=ARMOR, json=make_job(run_s=30)
        )
        path = f"/v1/jobs/{reply.json()['job_id']}"
        cluster.call_entry("DELETE", path, token=ARMOR, instance=instance)
        final = cluster.call_entry("GET", f"{path}?wait_s=20", token=ARMOR)
        assert final.json()["outcome"] in ("cancelled", "did_not_run")

    def test_failing_job_fails(self, cluster: Cluster) -> None:
        reply = submit(cluster, make_job(fail=True, idempotent=False))
        assert reply.json()["outcome"] == "failed"

    def test_urgent_job_that_cannot_start_did_not_run(
        self, cluster: Cluster
    ) -> None:
        blockers = [
            cluster.call_entry(
                "POST",
                "/v1/jobs",
                token="token-vestnes",
                json=make_job(
                    run_s=30,
                    idempotent=False,
                    shape={"members": 8},
                    availability_zone="z1",
                ),
            ).json()["job_id"],
        ]
        late = make_job(
            shape={"members": 8},
            availability_zone="z1",
            idempotent=False,
            start_within_s=0.5,
        )
        reply = submit(cluster, late, token="token-vestnes")
        for job_id in blockers:
            path = f"/v1/jobs/{job_id}"
            cluster.call_entry("DELETE", path, token="token-vestnes")
        answer = reply.json()
        refused = answer.get("code") == "deadline_unreachable"
        assert refused or answer["outcome"] == "did_not_run"


class TestRules:
    def test_racing_operators(self, cluster: Cluster) -> None:
        version = cluster.call_entry("GET", "/v1/rules").json()["version"]
        document = make_rules(["z1", "z2"], based_on=version)
        first = cluster.call_entry("PUT", "/v1/rules", json=document)
        second = cluster.call_entry(
            "PUT", "/v1/rules", json=document, instance="z2-1"
        )
        assert first.json()["version"] == version + 1
        assert second.json()["code"] == "rules_conflict"

    def test_guarantee_that_no_fleet_holds(self, cluster: Cluster) -> None:
        version = cluster.call_entry("GET", "/v1/rules").json()["version"]
        document = make_rules(["z1", "z2"], based_on=version)
        document["fleet"] = [
            {"availability_zone": "z1", "racks": 1, "workers": 2}
        ]
        reply = cluster.call_entry("PUT", "/v1/rules", json=document)
        assert reply.json()["code"] == "guarantee_infeasible"
        assert "armor" in reply.json()["detail"]

    def test_invalid_document(self, cluster: Cluster) -> None:
        reply = cluster.call_entry("PUT", "/v1/rules", json={"based_on": 0})
        assert reply.json()["code"] == "rules_invalid"


class TestDrain:
    def test_drained_endpoint_gets_nothing_new(self, cluster: Cluster) -> None:
        reply = cluster.call_entry("POST", "/v1/endpoints/z2-w0/drain")
        assert reply.is_success
        before = len(cluster.read_worker_history())
        for _ in range(3):
            submit(cluster, make_job(availability_zone="z2"))
        started = [
            event
            for event in cluster.read_worker_history()[before:]
            if event["event"] == "started"
        ]
        assert {event["worker"] for event in started} == {"z2-w1"}

    def test_unknown_endpoint(self, cluster: Cluster) -> None:
        reply = cluster.call_entry("POST", "/v1/endpoints/nowhere/drain")
        assert reply.json()["code"] == "unknown_endpoint"
