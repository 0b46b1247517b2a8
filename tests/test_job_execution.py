"""Jobs from submission to outcome, across all processes."""

from __future__ import annotations

import pytest

from harness.cluster import Cluster
from tests.conftest import make_job_body


class TestJobExecution:
    @pytest.mark.parametrize("members", [1, 4, 16])
    @pytest.mark.parametrize("idempotent", [True, False])
    def test_gang_completes(
        self, cluster: Cluster, members: int, idempotent: bool
    ) -> None:
        body = make_job_body(
            shape={"members": members, "accelerators": 1},
            idempotent=idempotent,
            answer=f"a{members}",
        )
        reply = cluster.call_entry(
            "POST", "/v1/jobs?wait_s=30", token="token-armor", json=body
        )
        assert reply.status_code == 200, reply.text
        assert reply.json()["outcome"] == "completed"
        expected = [f"a{members}/{index}" for index in range(members)]
        assert reply.json()["results"] == expected

    def test_retry_through_another_entry_returns_the_same_job(
        self, cluster: Cluster
    ) -> None:
        replies = [
            cluster.call_entry(
                "POST",
                "/v1/jobs?wait_s=30",
                instance=instance,
                token="token-armor",
                headers={"idempotency-key": "same"},
                json=make_job_body(idempotent=False),
            ).json()
            for instance in cluster.instances
        ]
        assert len({reply["job_id"] for reply in replies}) == 1
        assert {reply["outcome"] for reply in replies} == {"completed"}
        started = [
            event
            for event in cluster.read_worker_history()
            if event["job_id"] == replies[0]["job_id"]
            and event["event"] == "started"
        ]
        assert len(started) == 1
