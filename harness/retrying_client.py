"""A job API client that retries as documented and records every response."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httpx

REQUEST_TIMEOUT_S = 20.0
"""Time-out of one HTTP request."""
LONG_POLL_S = 5.0
"""``wait_s`` of one request: how long the entry holds it for the outcome."""


@dataclass
class JobSubmission:
    """One job that a caller submits, and the responses to it.

    Attributes:
        request_id: Idempotency key; also part of the payload, so that the
            workers' histories can be matched with the submission.
        organisation: Organisation that submits the job.
        body: Request body.
        try_count: Number of HTTP requests sent.
        outcome: Outcome in the last response; empty if there was none.
        ran_status: Whether the job may have run, from all responses so far:
            ``unknown`` if it may have, ``no`` if it did not and was refused,
            ``retry`` if it did not and may be sent again, empty before the
            first response.
        results: Results of the members.
        reported_outcomes: All outcomes received; more than one distinct value
            is an error.
        error_code: Error code of the last refusal.
        job_id: Identifier that the entry assigned.
        first_sent_at_s: Wall clock time of the first request.
        finished_at_s: Wall clock time at which the client stopped trying.
    """

    request_id: str
    organisation: str
    body: dict[str, Any]
    try_count: int = 0
    outcome: str = ""
    ran_status: str = ""
    results: list[str] = field(default_factory=list)
    reported_outcomes: list[str] = field(default_factory=list)
    error_code: str = ""
    job_id: str = ""
    first_sent_at_s: float = 0.0
    finished_at_s: float = 0.0

    @property
    def expected_results(self) -> list[str]:
        """Results that the stand-in workers produce for this payload."""
        members = self.body["shape"]["members"]
        return [f"{self.request_id}/{member}" for member in range(members)]


def make_random_submission(
    rng: random.Random, number: int, organisations: list[str], **fields: Any
) -> JobSubmission:
    """Draws one job of a mixed workload of urgent, normal and batch jobs."""
    request_id = f"n{number}"
    urgent = rng.random() < 0.15
    members = rng.choice([1, 1, 1, 1, 2, 2, 4, 8, 16])
    idempotent = rng.random() < 0.7
    body: dict[str, Any] = {
        "caller": rng.choice(["kiosk", "planner", "saw"]),
        "kind": "edge" if urgent else "render",
        "shape": {
            "members": members,
            "accelerators": 1 if members > 2 else rng.choice([1, 1, 2, 4]),
            "adjacency": rng.choice(["none", "none", "rack"]),
        },
        "urgency": "urgent" if urgent else rng.choice(["normal", "batch"]),
        "start_within_s": 60.0 if urgent else 0.0,
        "declared_run_s": 1.0,
        "idempotent": idempotent,
        "checkpointable": idempotent and rng.random() < 0.5,
        "payload": json.dumps(
            {"run_s": round(rng.uniform(0.05, 1.5), 2), "answer": request_id}
        ),
    }
    body |= fields
    return JobSubmission(request_id, rng.choice(organisations), body)


class RetryingClient:
    """Submits jobs to the entries in turn, like a round-robin load balancer.

    Args:
        get_entry_urls: Returns the base URLs of the entries in rotation.
        retry_timeout_s: Longest time for which one submission is retried.
    """

    def __init__(
        self, get_entry_urls: Callable[[], list[str]], retry_timeout_s: float
    ):
        self._get_entry_urls = get_entry_urls
        self._retry_timeout_s = retry_timeout_s
        self._round_robin_counter = itertools.count()
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=REQUEST_TIMEOUT_S,
            limits=httpx.Limits(max_connections=1_000),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def submit(self, submission: JobSubmission) -> None:
        """Sends a job until it has an outcome, is refused or times out."""
        submission.first_sent_at_s = time.time()
        deadline_s = time.monotonic() + self._retry_timeout_s
        while time.monotonic() < deadline_s and not submission.outcome:
            submission.try_count += 1
            urls = self._get_entry_urls()
            url = urls[next(self._round_robin_counter) % len(urls)]
            pause_s = await self._submit_once(submission, url)
            if submission.outcome or submission.ran_status == "no":
                break
            await asyncio.sleep(pause_s)
        submission.finished_at_s = time.time()

    async def _submit_once(self, submission: JobSubmission, url: str) -> float:
        """Sends one request; returns the pause before the next, in seconds."""
        try:
            response = await self._client.post(
                f"{url}/v1/jobs?wait_s={LONG_POLL_S}",
                headers={
                    "authorization": f"Bearer token-{submission.organisation}",
                    "idempotency-key": submission.request_id,
                },
                json=submission.body,
            )
        except httpx.ConnectError:
            submission.ran_status = submission.ran_status or "retry"
            return 0.3
        except httpx.HTTPError:
            submission.ran_status = "unknown"
            return 0.3
        response_body = response.json()
        if response.is_success:
            submission.job_id = response_body["job_id"]
            submission.outcome = response_body["outcome"]
            submission.results = response_body["results"]
            submission.ran_status = "unknown"
            if submission.outcome:
                submission.reported_outcomes.append(submission.outcome)
            return 0.05
        submission.error_code = response_body["code"]
        may_have_run = (
            submission.ran_status == "unknown"
            or response_body["ran"] == "unknown"
        )
        submission.ran_status = "unknown" if may_have_run else "no"
        if response.status_code in (429, 503):
            if not may_have_run:
                submission.ran_status = "retry"
            return float(response.headers.get("retry-after", "1")) / 2
        return 0.5


def resolve_refused_submission(submission: JobSubmission) -> None:
    """Marks a job that every response refused as one that did not run."""
    if not submission.outcome and submission.ran_status in ("retry", "no"):
        submission.ran_status = "no"
