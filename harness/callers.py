"""Callers that submit jobs, retry as they should, and keep every answer."""

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

TRY_TIMEOUT_S = 20.0
"""Deadline of one try."""
WAIT_S = 5.0
"""Longest wait that one try asks for."""


@dataclass
class Request:
    """One caller's wish, and what became of it.

    Attributes:
        nonce: Names the wish in the workers' histories.
        organisation: Whose it is.
        body: The job as submitted.
        tries: Requests sent for it.
        outcome: What the caller was told last; empty for no answer.
        ran: Whether the caller was told that it can have run.
        results: The members' answers.
        told: All outcomes that were told.
        code: Code of the last refusal.
        sent_s: When it was first sent.
        done_s: When the outcome was told.
    """

    nonce: str
    organisation: str
    body: dict[str, Any]
    tries: int = 0
    outcome: str = ""
    ran: str = ""
    results: list[str] = field(default_factory=list)
    told: list[str] = field(default_factory=list)
    code: str = ""
    job_id: str = ""
    sent_s: float = 0.0
    done_s: float = 0.0

    @property
    def expected(self) -> list[str]:
        """The right answer."""
        members = self.body["shape"]["members"]
        return [f"{self.nonce}/{member}" for member in range(members)]


def make_request(
    rng: random.Random, number: int, organisations: list[str], **fields: Any
) -> Request:
    """Draws one job of the mixed workload."""
    nonce = f"n{number}"
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
            {"run_s": round(rng.uniform(0.05, 1.5), 2), "answer": nonce}
        ),
    }
    body |= fields
    return Request(nonce, rng.choice(organisations), body)


class Callers:
    """Sends requests to the entries, as the platform's balancer would.

    Args:
        get_urls: Returns the entries that are listed now.
        deadline_s: Longest time that a caller goes on for one wish.
    """

    def __init__(self, get_urls: Callable[[], list[str]], deadline_s: float):
        self._get_urls = get_urls
        self._deadline_s = deadline_s
        self._turn = itertools.count()
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=TRY_TIMEOUT_S,
            limits=httpx.Limits(max_connections=1_000),
        )

    async def close(self) -> None:
        """Ends all connections."""
        await self._client.aclose()

    async def send(self, request: Request) -> None:
        """Sends a request until it has an outcome or is refused."""
        request.sent_s = time.time()
        deadline_s = time.monotonic() + self._deadline_s
        while time.monotonic() < deadline_s and not request.outcome:
            request.tries += 1
            urls = self._get_urls()
            url = urls[next(self._turn) % len(urls)]
            pause_s = await self._try_once(request, url)
            if request.outcome or request.ran == "no":
                break
            await asyncio.sleep(pause_s)
        request.done_s = time.time()

    async def _try_once(self, request: Request, url: str) -> float:
        """Tries once; returns the pause before the next try."""
        try:
            response = await self._client.post(
                f"{url}/v1/jobs?wait_s={WAIT_S}",
                headers={
                    "authorization": f"Bearer token-{request.organisation}",
                    "idempotency-key": request.nonce,
                },
                json=request.body,
            )
        except httpx.ConnectError:
            request.ran = request.ran or "retry"
            return 0.3
        except httpx.HTTPError:
            request.ran = "unknown"
            return 0.3
        answer = response.json()
        if response.is_success:
            request.job_id = answer["job_id"]
            request.outcome = answer["outcome"]
            request.results = answer["results"]
            request.ran = "unknown"
            if request.outcome:
                request.told.append(request.outcome)
            return 0.05
        request.code = answer["code"]
        may_have_run = request.ran == "unknown" or answer["ran"] == "unknown"
        request.ran = "unknown" if may_have_run else "no"
        if response.status_code in (429, 503):
            if not may_have_run:
                request.ran = "retry"
            return float(response.headers.get("retry-after", "1")) / 2
        return 0.5


def finish_refused(request: Request) -> None:
    """Takes a wish that was always refused as one that did not run."""
    if not request.outcome and request.ran in ("retry", "no"):
        request.ran = "no"
