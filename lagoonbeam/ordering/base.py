"""What an ordering policy must do."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.core.registry import Registry
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.types import OrganisationName


class CellSource(enum.Enum):
    """Which cells to try for a candidate."""

    GUARANTEED = "guaranteed"
    FREE = "free"


@dataclass(frozen=True)
class JobCandidate:
    """A queued job to try, and where.

    Attributes:
        planned: The job.
        route: Which cells to try.
    """

    planned: PlannedJob
    cell_source: CellSource


class OrderingPolicy(ABC):
    """Keeps the queue of a zone and says whose turn it is.

    The planner walks `iterate`, and reports each candidate by `accept` or
    `skip` before it asks for the next.

    Attributes:
        reserves: Whether the oldest starving gang gets a reservation.
        urgent_first: Whether urgent work outside guarantees goes before the
            rest; the planner sets it by the share that urgent work holds.
    """

    uses_reservations = True
    urgent_first = True

    @abstractmethod
    def set_rules(
        self,
        rules: RulesDocument | None,
        guaranteed_organisations: set[OrganisationName],
    ) -> None:
        """Takes the rules in force and who has a guarantee here."""

    @abstractmethod
    def add(self, planned: PlannedJob) -> None:
        """Queues a job."""

    @abstractmethod
    def remove(self, planned: PlannedJob) -> None:
        """Takes a job out of the queue."""

    def remove_placed(self, planned: PlannedJob) -> None:
        """Takes out a job that was placed without being offered."""
        self.remove(planned)

    @abstractmethod
    def iterate_candidates(self) -> Iterator[JobCandidate]:
        """Yields the candidates of one pass."""

    @abstractmethod
    def mark_placed(self, candidate: JobCandidate) -> None:
        """The candidate was placed and leaves the queue."""

    @abstractmethod
    def mark_blocked(self, candidate: JobCandidate) -> None:
        """The candidate does not fit now."""

    def compute_order_key(self, planned: PlannedJob) -> tuple[float, ...]:
        """Returns how late a queued job's turn is; lower goes first."""
        return (planned.queued_at_s,)

    def retry_blocked(self, organisation: OrganisationName | None) -> None:  # noqa: B027
        """Room was freed, in the guarantee of an organisation or in all."""

    def record_run_time(self, planned: PlannedJob, run_s: float) -> None:  # noqa: B027
        """A placed job ended after `run_s` seconds on its cells."""


ORDERING_POLICIES: Registry[type[OrderingPolicy]] = Registry("ordering policy")
