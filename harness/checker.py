"""Judges a run by the workers' own histories and the callers' answers."""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from harness.callers import Request

TICK_S = 0.5
"""Resolution of the histories and of the stand-ins' clocks."""


@dataclass
class Attempt:
    """One launch, as the workers saw it.

    Attributes:
        nonce: The wish it was for.
        members: Size of the gang.
        idempotent: Whether it may run again.
        starts: When each member was started.
        ends: How and when each member ended.
    """

    nonce: str
    members: int
    idempotent: bool
    starts: dict[int, float] = field(default_factory=dict)
    ends: dict[int, tuple[str, float]] = field(default_factory=dict)

    def measure_partial_s(self, now_s: float) -> float:
        """Returns how long members ran while another did not and had not.

        A member that completed counts as having run; one that ended in any
        other way leaves the rest partial until they end.
        """
        if not self.starts:
            return 0.0
        ended_s = {
            member: self.ends.get(member, ("", now_s))[1]
            for member in self.starts
        }
        broken_s = [
            at_s
            for member, (state, at_s) in self.ends.items()
            if state != "completed"
        ]
        last_s = max(ended_s.values())
        if len(self.starts) < self.members:
            broken_s.append(min(self.starts.values()))
        else:
            late = max(self.starts.values()) - min(self.starts.values())
            if late > 0 and not broken_s:
                return late
        return last_s - min(broken_s) if broken_s else 0.0

    @property
    def has_completed(self) -> bool:
        """Whether all members completed."""
        states = [state for state, _ in self.ends.values()]
        return states.count("completed") == self.members

    @property
    def was_checkpointed(self) -> bool:
        """Whether it was stopped to go on later."""
        states = {state for state, _ in self.ends.values()}
        return states == {"checkpointed"}


def read_attempts(history: Iterable[dict[str, Any]]) -> dict[str, Attempt]:
    """Groups the workers' histories by launch."""
    attempts: dict[str, Attempt] = {}
    for event in history:
        name = f"{event['job_id']}/{event['attempt']}"
        if event["event"] == "started":
            job = json.loads(event["annotation"])["job"]
            nonce = json.loads(job["payload"])["answer"]
            attempt = attempts.setdefault(
                name, Attempt(nonce, event["members"], job["idempotent"])
            )
            attempt.starts[event["member"]] = event["at_s"]
        elif name in attempts:
            attempts[name].ends[event["member"]] = (
                event["event"],
                event["at_s"],
            )
    return attempts


@dataclass
class Verdict:
    """What a run showed.

    Attributes:
        checks: Number of things looked at, by promise.
        violations: What was found, by promise.
        repeated: Idempotent wishes that completed more than once.
        longest_partial_s: Longest time that a gang ran in part.
    """

    checks: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    violations: dict[str, list[str]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )
    repeated: int = 0
    longest_partial_s: float = 0.0

    def expect(self, promise: str, holds: bool, what: str) -> None:
        """Counts a check and keeps what was found wrong."""
        self.checks[promise] += 1
        if not holds:
            self.violations[promise].append(what)


def judge_run(
    history: list[dict[str, Any]],
    requests: list[Request],
    *,
    now_s: float,
    lease_s: float,
) -> Verdict:
    """Checks the promises that workers and callers can witness.

    Args:
        history: What really ran.
        requests: What callers wanted and were told.
        now_s: Wall clock time of the end of the run.
        lease_s: Lease of the run; no gang runs in part for longer.
    """
    verdict = Verdict()
    attempts = read_attempts(history)
    by_nonce: dict[str, list[Attempt]] = collections.defaultdict(list)
    for name, attempt in attempts.items():
        by_nonce[attempt.nonce].append(attempt)
        partial_s = attempt.measure_partial_s(now_s)
        verdict.longest_partial_s = max(verdict.longest_partial_s, partial_s)
        verdict.expect(
            "whole_gangs",
            partial_s <= lease_s + TICK_S,
            f"{name} ran in part for {partial_s:.2f} s",
        )
    for request in requests:
        _judge_request(verdict, request, by_nonce[request.nonce])
    return verdict


def _judge_request(
    verdict: Verdict, request: Request, attempts: list[Attempt]
) -> None:
    nonce = request.nonce
    started = [attempt for attempt in attempts if attempt.starts]
    fresh = [attempt for attempt in started if not attempt.was_checkpointed]
    if not request.body["idempotent"]:
        verdict.expect(
            "at_most_once", len(fresh) <= 1, f"{nonce}: {len(fresh)} launches"
        )
    completed = sum(attempt.has_completed for attempt in attempts)
    verdict.repeated += completed > 1
    denied = request.outcome == "did_not_run" or (
        not request.outcome and request.ran == "no"
    )
    if denied:
        verdict.expect(
            "true_denials", not started, f"{nonce}: denied, but it started"
        )
    if request.outcome == "completed":
        verdict.expect(
            "right_answers",
            request.results == request.expected,
            f"{nonce}: got {request.results}",
        )
        verdict.expect(
            "true_completions", completed > 0, f"{nonce}: never completed"
        )
    verdict.expect(
        "every_caller_answered",
        bool(request.outcome) or request.ran == "no",
        f"{nonce}: no answer after {request.tries} tries ({request.code})",
    )
    verdict.expect(
        "one_answer", len(set(request.told)) <= 1, f"{nonce}: {request.told}"
    )
