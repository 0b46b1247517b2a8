"""Callers of a site: submit, repeat, cancel and ask for jobs while it fails."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import httpx

from harness.site import API_KEY, PATH_PREFIXES, ROUTE_HOST, make_step

CALL_TIMEOUT_S = 3.0
SUBMIT_TIMEOUT_S = 12.0
"""Time for which a submission without a definite answer is repeated."""
REFUSALS = (401, 404, 429, 503)


@dataclass
class SubmittedJob:
    """A job and what callers were told of it.

    Attributes:
        path: Path of the job.
        spec: Text that is passed to its tasks.
        statuses: Statuses of all submissions; 0 for no answer.
        cancel_sent: Whether a cancellation was sent.
        cancelled_at_s: Wall clock time at which it was first acknowledged.
        shown_states: States that were shown, with the time.
    """

    path: str
    spec: str
    statuses: list[int] = field(default_factory=list)
    cancel_sent: bool = False
    cancelled_at_s: float = float("inf")
    shown_states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.path.rsplit("/", 1)[1]

    @property
    def is_accepted(self) -> bool:
        """Whether any submission was accepted."""
        return any(200 <= status < 300 for status in self.statuses)

    @property
    def is_refused(self) -> bool:
        """Whether all submissions were refused."""
        return all(status in REFUSALS for status in self.statuses)


def draw_job(
    rng: random.Random, long_fraction: float = 0.0
) -> tuple[SubmittedJob, dict[str, Any]]:
    """Draws a job and the body of its submission.

    Args:
        rng: Source of the draws.
        long_fraction: Fraction of the jobs whose runs outlast a lease.
    """
    longest_s = 2.5
    shortest_s = 0.1
    if long_fraction and rng.random() < long_fraction:
        shortest_s, longest_s = 3.0, 14.0
    job_id = f"{rng.getrandbits(64):016x}"
    gpu = rng.choice([1, 1, 2, 4])
    members = rng.choice([0, 0, 0, 2, 3])
    spec = json.dumps(
        {
            "run_s": round(rng.uniform(shortest_s, longest_s), 2),
            "gpu": gpu,
            "members": members,
            "job": job_id,
        }
    )
    step = make_step(members or rng.randint(1, 4), gpu, gang=bool(members))
    steps = [step]
    if not members and rng.random() < 0.3:
        steps.append(make_step(rng.randint(1, 2), gpu, after=[0]))
    path = rng.choice(list(PATH_PREFIXES.values())) + job_id
    return SubmittedJob(path, spec), {"spec": spec, "steps": steps}


class SiteLoad:
    """Callers that keep their connections open until an instance is gone.

    Args:
        urls: Base URLs of the instances' fronts.
        seed: Seed of all draws.
        interval_s: Mean time between two submissions, in seconds.
        long_fraction: Fraction of the jobs whose runs outlast a lease.

    Attributes:
        jobs: All jobs submitted so far.
    """

    def __init__(
        self,
        urls: Sequence[str],
        seed: int,
        interval_s: float,
        long_fraction: float = 0.0,
    ):
        self.jobs: list[SubmittedJob] = []
        self._urls = urls
        self._rng = random.Random(seed)
        self._interval_s = interval_s
        self._long_fraction = long_fraction
        self._client = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
            headers={"Host": ROUTE_HOST, "Api-Key": API_KEY},
        )

    async def run(self, duration_s: float) -> None:
        """Submits jobs for a time, then waits for all callers."""
        end_s = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end_s:
                tasks.create_task(self._play_job())
                await asyncio.sleep(self._rng.expovariate(1 / self._interval_s))

    async def ask_for_all(self, timeout_s: float) -> list[SubmittedJob]:
        """Asks for accepted jobs until they have ended.

        Returns:
            The jobs that were not shown as ended in time.
        """
        end_s = time.monotonic() + timeout_s
        open_jobs = [job for job in self.jobs if job.is_accepted]
        while open_jobs and time.monotonic() < end_s:
            await asyncio.gather(*map(self._ask, open_jobs))
            open_jobs = [job for job in open_jobs if not is_shown_ended(job)]
            await asyncio.sleep(0.3)
        return open_jobs

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        url = self._rng.choice(self._urls)
        try:
            return await self._client.request(method, url + path, json=body)
        except httpx.HTTPError:
            return None

    async def _play_job(self) -> None:
        job, body = draw_job(self._rng, self._long_fraction)
        self.jobs.append(job)
        await self._submit(job, body)
        if not job.is_accepted:
            return
        if self._rng.random() < 0.2:
            await self._cancel(job)
        for _ in range(self._rng.randint(0, 4)):
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
            if self._rng.random() < 0.2:
                await self._submit(job, body)
            await self._ask(job)

    async def _submit(self, job: SubmittedJob, body: Any) -> None:
        end_s = time.monotonic() + SUBMIT_TIMEOUT_S
        while time.monotonic() < end_s:
            response = await self._call("POST", job.path, body)
            status = 0 if response is None else response.status_code
            job.statuses.append(status)
            if 200 <= status < 300:
                return
            if status in REFUSALS and self._rng.random() < 0.3:
                return
            await asyncio.sleep(self._rng.uniform(0.1, 0.5))

    async def _cancel(self, job: SubmittedJob) -> None:
        job.cancel_sent = True
        for _ in range(8):
            response = await self._call("DELETE", job.path)
            if response is not None and response.status_code in (200, 410):
                job.cancelled_at_s = time.time()
                return
            await asyncio.sleep(0.3)

    async def _ask(self, job: SubmittedJob) -> None:
        response = await self._call("GET", job.path)
        if response is None:
            return
        if response.status_code == 200:
            state = response.json()["state"]
        elif response.status_code == 410:
            state = "unknown"
        else:
            return
        job.shown_states.append((time.time(), state))


def is_shown_ended(job: SubmittedJob) -> bool:
    """Whether a job was shown in a final state."""
    states = {state for _, state in job.shown_states}
    return bool(states & {"completed", "cancelled", "failed"})
