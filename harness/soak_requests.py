"""Requests of operators and callers that the faults of the soak test make."""

from __future__ import annotations

import contextlib
from typing import Any

import httpx

from harness.cluster import Cluster
from harness.retrying_client import JobSubmission

ZONES = ["z1", "z2", "z3"]
ORGANISATIONS = ["armor", "kiosks", "vestnes", "netmakers"]


def make_rules(based_on: int, weight: float) -> dict[str, Any]:
    """Returns the soak test's rules; documents differ in one weight."""
    kinds = [{"name": "edge"}, {"name": "render"}]
    return {
        "based_on": based_on,
        "organisations": [
            {
                "name": name,
                "kinds": kinds,
                "weight": weight if name == "kiosks" else 1.0,
                "guarantees": [
                    {"availability_zone": zone, "slots": 8} for zone in ZONES
                ]
                if name == "armor"
                else [],
            }
            for name in ORGANISATIONS
        ],
    }


def publish_rules_through(
    cluster: Cluster, name: str, body: dict[str, Any]
) -> int | None:
    """Publishes rules; returns their version, or None if refused."""
    with contextlib.suppress(httpx.HTTPError, KeyError):
        reply = cluster.call_entry("PUT", "/v1/rules", instance=name, json=body)
        return int(reply.json()["version"]) if reply.is_success else None
    return None


def cancel_job(cluster: Cluster, url: str, submission: JobSubmission) -> None:
    """Cancels a job, found by submitting it again with the same key."""
    headers = {
        "authorization": f"Bearer token-{submission.organisation}",
        "idempotency-key": submission.request_id,
    }
    with contextlib.suppress(httpx.HTTPError, KeyError):
        reply = cluster.http_client.post(
            f"{url}/v1/jobs", headers=headers, json=submission.body
        )
        job_id = reply.json()["job_id"]
        cluster.http_client.delete(f"{url}/v1/jobs/{job_id}", headers=headers)
