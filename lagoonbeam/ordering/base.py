"""What an ordering policy must do."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.types import OrganisationName


class Route(enum.Enum):
    """Which cells to try for a candidate."""

    GUARANTEED = "guaranteed"
    FREE = "free"


@dataclass(frozen=True)
class Candidate:
    """A queued job to try, and where.

    Attributes:
        planned: The job.
        route: Which cells to try.
    """

    planned: PlannedJob
    route: Route


class OrderingPolicy(ABC):
    """Keeps the queue of a zone and says whose turn it is.

    The planner walks `iterate`, and reports each candidate by `accept` or
    `skip` before it asks for the next.

    Attributes:
        reserves: Whether the oldest starving gang gets a reservation.
        urgent_first: Whether urgent work outside guarantees goes before the
            rest; the planner sets it by the share that urgent work holds.
    """

    reserves = True
    urgent_first = True

    @abstractmethod
    def set_rules(
        self, rules: RulesDocument | None, promised: set[OrganisationName]
    ) -> None:
        """Takes the rules in force and who has a guarantee here."""

    @abstractmethod
    def add(self, planned: PlannedJob) -> None:
        """Queues a job."""

    @abstractmethod
    def discard(self, planned: PlannedJob) -> None:
        """Takes a job out of the queue."""

    def take(self, planned: PlannedJob) -> None:
        """Takes out a job that was placed without being offered."""
        self.discard(planned)

    @abstractmethod
    def iterate(self) -> Iterator[Candidate]:
        """Yields the candidates of one pass."""

    @abstractmethod
    def accept(self, candidate: Candidate) -> None:
        """The candidate was placed and leaves the queue."""

    @abstractmethod
    def skip(self, candidate: Candidate) -> None:
        """The candidate does not fit now."""

    def rate(self, planned: PlannedJob) -> tuple[float, ...]:
        """Returns how late a queued job's turn is; lower goes first."""
        return (planned.queued_at_s,)

    def reopen(self, organisation: OrganisationName | None) -> None:  # noqa: B027
        """Room was freed, in the guarantee of an organisation or in all."""

    def settle(self, planned: PlannedJob, run_s: float) -> None:  # noqa: B027
        """A placed job ended after `run_s` seconds on its cells."""


ORDERINGS: PluginRegistry[type[OrderingPolicy]] = PluginRegistry(
    "ordering policy"
)
