"""State that the steps of a scenario of ``test_promises.py`` share."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import Any

import httpx

from harness.cluster import Cluster
from harness.retrying_client import JobSubmission
from tests.conftest import make_job_body

CALLER_TOKEN = "token-armor"


@dataclass
class ScenarioContext:
    """State that the steps of one scenario share.

    Attributes:
        cluster: The system under test.
        job_statuses: Responses to the completed jobs, in order.
        submitting_thread: Thread that waits for the outcome of a long job.
        new_instance: Name of the instance started as a replacement.
        submission_count: Jobs sent by ``submit``; numbers their keys.
        submissions: Jobs sent by a retrying client.
        rules_version: Version of the rules published last.
        worker: Worker listed as leaving.
        changed_at_s: Time of the change that the scenario is about.
    """

    cluster: Cluster
    job_statuses: list[dict[str, Any]] = field(default_factory=list)
    submitting_thread: threading.Thread | None = None
    new_instance: str = ""
    submission_count: int = 0
    submissions: list[JobSubmission] = field(default_factory=list)
    rules_version: int = 0
    worker: str = ""
    changed_at_s: float = 0.0

    def submit(self, *, zone: str = "z1", **fields: Any) -> httpx.Response:
        """Submits a job through a zone's entry with a new idempotency key."""
        self.submission_count += 1
        name = self.cluster.list_zone_instances(zone)[0]
        return self.cluster.call_entry(
            "POST",
            "/v1/jobs?wait_s=20",
            instance=name,
            token=CALLER_TOKEN,
            json=make_job_body(**fields),
            headers={"idempotency-key": f"k{self.submission_count}"},
            timeout=30,
        )

    def wait_for(self, condition: Any, within_s: float) -> None:
        deadline_s = time.monotonic() + within_s
        while not condition():
            assert time.monotonic() < deadline_s, (
                f"condition not met within {within_s} s"
            )
            time.sleep(0.05)

    def list_instances_reporting_active(self, zone: str) -> list[str]:
        """Returns the instances of a zone that report themselves as active."""
        active_instances = []
        for name in self.cluster.list_zone_instances(zone):
            reply = self.cluster.call_entry(
                "GET", "/v1/instances", instance=name
            )
            own_status = reply.json()["instances"][0]
            if own_status["active"] and own_status["instance"] == name:
                active_instances.append(name)
        return active_instances
