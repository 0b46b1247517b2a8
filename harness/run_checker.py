"""Checks a run against the workers' histories and the callers' responses."""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from harness.retrying_client import JobSubmission

TIMING_TOLERANCE_S = 0.5
"""Allows for the resolution of the histories and the stand-ins' clocks."""


@dataclass
class LaunchAttempt:
    """One launch of a job, reconstructed from the workers' histories.

    Attributes:
        request_id: Submission that the launch belongs to.
        members: Size of the gang.
        idempotent: Whether the job may run again.
        start_times_s: Start time by member.
        member_ends: Final state and end time by member.
    """

    request_id: str
    members: int
    idempotent: bool
    start_times_s: dict[int, float] = field(default_factory=dict)
    member_ends: dict[int, tuple[str, float]] = field(default_factory=dict)

    def measure_partial_gang_s(self, now_s: float) -> float:
        """Returns for how long only a part of the gang was running.

        A member that completed still counts as present. The gang is partial
        while some members run and others have not started yet, and from the
        first end in any other state until the last member ends.
        """
        if not self.start_times_s:
            return 0.0
        end_times_s = {
            member: self.member_ends.get(member, ("", now_s))[1]
            for member in self.start_times_s
        }
        incomplete_since_s = [
            at_s
            for member, (state, at_s) in self.member_ends.items()
            if state != "completed"
        ]
        last_end_s = max(end_times_s.values())
        if len(self.start_times_s) < self.members:
            incomplete_since_s.append(min(self.start_times_s.values()))
        else:
            start_skew_s = max(self.start_times_s.values()) - min(
                self.start_times_s.values()
            )
            if start_skew_s > 0 and not incomplete_since_s:
                return start_skew_s
        return (
            last_end_s - min(incomplete_since_s) if incomplete_since_s else 0.0
        )

    @property
    def has_completed(self) -> bool:
        """Whether all members completed."""
        states = [state for state, _ in self.member_ends.values()]
        return states.count("completed") == self.members

    @property
    def was_checkpointed(self) -> bool:
        """Whether it was stopped at a checkpoint, to be resumed later."""
        states = {state for state, _ in self.member_ends.values()}
        return states == {"checkpointed"}


def group_launch_attempts(
    history: Iterable[dict[str, Any]],
) -> dict[str, LaunchAttempt]:
    """Groups the events of the workers' histories by launch."""
    attempts: dict[str, LaunchAttempt] = {}
    for event in history:
        name = f"{event['job_id']}/{event['attempt']}"
        if event["event"] == "started":
            job = json.loads(event["annotation"])["job"]
            request_id = json.loads(job["payload"])["answer"]
            attempt = attempts.setdefault(
                name,
                LaunchAttempt(request_id, event["members"], job["idempotent"]),
            )
            attempt.start_times_s[event["member"]] = event["at_s"]
        elif name in attempts:
            attempts[name].member_ends[event["member"]] = (
                event["event"],
                event["at_s"],
            )
    return attempts


@dataclass
class CheckReport:
    """Results of the checks of a run.

    Attributes:
        check_counts: Number of checks by invariant.
        violations: Descriptions of failed checks by invariant.
        repeated_completions: Idempotent jobs that completed more than once,
            which is allowed.
        longest_partial_s: Longest time for which a gang ran partially.
    """

    check_counts: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    violations: dict[str, list[str]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )
    repeated_completions: int = 0
    longest_partial_s: float = 0.0

    def check(self, invariant: str, holds: bool, violation: str) -> None:
        """Counts a check and records its violation if it failed."""
        self.check_counts[invariant] += 1
        if not holds:
            self.violations[invariant].append(violation)


def check_run(
    history: list[dict[str, Any]],
    submissions: list[JobSubmission],
    *,
    now_s: float,
    lease_s: float,
) -> CheckReport:
    """Checks the invariants that are visible to workers and callers.

    Args:
        history: Events that the workers recorded.
        submissions: Submitted jobs and the responses to them.
        now_s: Wall clock time at the end of the run.
        lease_s: Lease of the workers; no gang may run partially for longer.
    """
    report = CheckReport()
    attempts = group_launch_attempts(history)
    submission_attempts: dict[str, list[LaunchAttempt]] = (
        collections.defaultdict(list)
    )
    for name, attempt in attempts.items():
        submission_attempts[attempt.request_id].append(attempt)
        partial_s = attempt.measure_partial_gang_s(now_s)
        report.longest_partial_s = max(report.longest_partial_s, partial_s)
        report.check(
            "whole_gangs",
            partial_s <= lease_s + TIMING_TOLERANCE_S,
            f"{name}: gang ran partially for {partial_s:.2f} s",
        )
    for submission in submissions:
        _check_submission(
            report, submission, submission_attempts[submission.request_id]
        )
    return report


def _check_submission(
    report: CheckReport,
    submission: JobSubmission,
    attempts: list[LaunchAttempt],
) -> None:
    request_id = submission.request_id
    started_attempts = [
        attempt for attempt in attempts if attempt.start_times_s
    ]
    new_launches = [
        attempt for attempt in started_attempts if not attempt.was_checkpointed
    ]
    if not submission.body["idempotent"]:
        report.check(
            "at_most_once",
            len(new_launches) <= 1,
            f"{request_id}: {len(new_launches)} launches",
        )
    completed_attempt_count = sum(attempt.has_completed for attempt in attempts)
    report.repeated_completions += completed_attempt_count > 1
    was_denied = submission.outcome == "did_not_run" or (
        not submission.outcome and submission.ran_status == "no"
    )
    if was_denied:
        report.check(
            "true_denials",
            not started_attempts,
            f"{request_id}: reported as not run, but it started",
        )
    if submission.outcome == "completed":
        report.check(
            "right_answers",
            submission.results == submission.expected_results,
            f"{request_id}: got results {submission.results}",
        )
        report.check(
            "true_completions",
            completed_attempt_count > 0,
            f"{request_id}: reported as completed, but no attempt was",
        )
    report.check(
        "every_caller_answered",
        bool(submission.outcome) or submission.ran_status == "no",
        f"{request_id}: no outcome after {submission.try_count} tries"
        f" ({submission.error_code})",
    )
    report.check(
        "one_answer",
        len(set(submission.reported_outcomes)) <= 1,
        f"{request_id}: got outcomes {submission.reported_outcomes}",
    )
