"""What keeps orders without an answer from taking effect too late.

An order that got no answer may still be carried out, after newer ones and by a
later incarnation of its worker, which knows nothing of what was stopped before.
"""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

import msgspec

from lagoonbeam.site.model import EndEvidence
from lagoonbeam.site.records import RunEnd, RunKey

TOKENS_PER_TERM = 1000
"""Fencing tokens of one term: its number and those up to the next term's."""
UNSEEN_RUN_EVIDENCE = (
    EndEvidence.LEASES_EXPIRED,
    EndEvidence.NO_SESSION,
    EndEvidence.STOP_CONFIRMED,
)
"""Evidence for the end of runs that the term may never have seen."""


def get_next_term(term: int) -> int:
    """Returns the number of the term that follows a term."""
    return (term // TOKENS_PER_TERM + 1) * TOKENS_PER_TERM


@dataclass(slots=True)
class WorkerFence:
    """Fencing token of the orders that a term sends to one worker.

    Each new incarnation of the worker gets a higher token. Once it has seen
    that, it refuses orders that were sent to an earlier one.

    Attributes:
        token: Token of the orders that are sent from now on.
        incarnation: Newest incarnation that answered; 0 if none did.
    """

    token: int
    incarnation: int = 0

    @property
    def is_used_up(self) -> bool:
        """Whether a higher token would be one of the next term."""
        return (self.token + 1) % TOKENS_PER_TERM == 0

    def record_incarnation(self, incarnation: int) -> None:
        """Raises the token if another incarnation answered before."""
        if self.incarnation not in (0, incarnation):
            self.token += 1
        self.incarnation = incarnation


class UnansweredStarts:
    """Starts of a term that got no answer and may still be carried out.

    Args:
        max_delay_s: Longest time after which an order that got no answer is
            carried out.
        inherited_runs: Runs that earlier terms placed. If their workers list
            none of them, their starts may have got no answer.
    """

    def __init__(
        self, max_delay_s: float, inherited_runs: Set[RunKey] = frozenset()
    ):
        self._max_delay_s = max_delay_s
        self._inherited_runs = inherited_runs
        self._created_at_s = time.monotonic()
        self._given_up_at_s: dict[RunKey, float] = {}

    def record(self, run_key: RunKey) -> None:
        """Records that a start of a run got no answer until now."""
        self._given_up_at_s[run_key] = time.monotonic()

    def mark_late_starts(
        self, ends: Sequence[RunEnd], evidence: EndEvidence | None = None
    ) -> list[RunEnd]:
        """Returns ends of runs that say how long a start may still arrive.

        Args:
            ends: The ends.
            evidence: Why the runs have ended; None if their worker listed the
                ends.
        """
        now_s = time.monotonic()
        return [
            msgspec.structs.replace(
                end,
                late_start_ms=math.ceil(
                    self._get_remaining_s(end, evidence, now_s) * 1e3
                ),
            )
            for end in ends
        ]

    def _get_remaining_s(
        self, end: RunEnd, evidence: EndEvidence | None, now_s: float
    ) -> float:
        run_key = (end.task_id, end.run)
        given_up_at_s = self._given_up_at_s.get(run_key, float("-inf"))
        if run_key in self._inherited_runs and evidence in UNSEEN_RUN_EVIDENCE:
            given_up_at_s = max(given_up_at_s, self._created_at_s)
        return max(0.0, given_up_at_s + self._max_delay_s - now_s)

    def discard_ended(self, ends: Iterable[RunEnd]) -> None:
        """Discards the starts of runs that have ended."""
        for end in ends:
            self._given_up_at_s.pop((end.task_id, end.run), None)

    def may_arrive_after(self, run_key: RunKey, time_s: float) -> bool:
        """Whether a start may be carried out after a monotonic time."""
        given_up_at_s = self._given_up_at_s.get(run_key, float("-inf"))
        return given_up_at_s + self._max_delay_s >= time_s

    def discard_arrived(self, run_key: RunKey, time_s: float) -> None:
        """Discards a run's starts that arrived before a time, if all did.

        Args:
            run_key: The run; its worker was asked for its runs at `time_s`.
            time_s: Monotonic time.
        """
        if not self.may_arrive_after(run_key, time_s):
            self._given_up_at_s.pop(run_key, None)

    def may_be_running(
        self, run_key: RunKey, leases_expire_at_s: float
    ) -> bool:
        """Whether a run may hold a lease of a life whose clock is not known.

        Args:
            run_key: The run.
            leases_expire_at_s: As for `may_outlast_leases`.
        """
        return (
            run_key in self._given_up_at_s
            and time.monotonic() <= leases_expire_at_s
        )

    def may_outlast_leases(
        self, run_key: RunKey, leases_expire_at_s: float
    ) -> bool:
        """Whether a run may go on now, though all leases have expired.

        A late start is granted a whole lease by an incarnation whose clock
        has begun anew, as are later orders to it.

        Args:
            run_key: The run; nothing was heard from its worker since.
            leases_expire_at_s: Monotonic time at which the leases expire that
                were granted to its worker, if each is the longest.
        """
        return (
            run_key in self._given_up_at_s
            and time.monotonic() <= leases_expire_at_s + self._max_delay_s
        )
