"""What a scenario of the promises remembers."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import Any

import httpx

from harness.callers import Request
from harness.cluster import Cluster
from tests.conftest import make_job_submission

TOKEN = "token-armor"


@dataclass
class Story:
    """What a scenario remembers."""

    cluster: Cluster
    answers: list[dict[str, Any]] = field(default_factory=list)
    caller: threading.Thread | None = None
    new: str = ""
    key: int = 0
    requests: list[Request] = field(default_factory=list)
    version: int = 0
    worker: str = ""
    since_s: float = 0.0

    def submit(self, *, zone: str = "z1", **fields: Any) -> httpx.Response:
        """Sends a job to an entry of a zone, with a new key."""
        self.key += 1
        name = self.cluster.list_zone(zone)[0]
        return self.cluster.call(
            "POST",
            "/v1/jobs?wait_s=20",
            instance=name,
            token=TOKEN,
            json=make_job_submission(**fields),
            headers={"idempotency-key": f"k{self.key}"},
            timeout=30,
        )

    def wait_for(self, what: Any, within_s: float) -> None:
        deadline_s = time.monotonic() + within_s
        while not what():
            assert time.monotonic() < deadline_s, f"not within {within_s} s"
            time.sleep(0.05)

    def list_own_active(self, zone: str) -> list[str]:
        """Returns the instances of a zone that call themselves active."""
        found = []
        for name in self.cluster.list_zone(zone):
            reply = self.cluster.call("GET", "/v1/instances", instance=name)
            own = reply.json()["instances"][0]
            if own["active"] and own["instance"] == name:
                found.append(name)
        return found
