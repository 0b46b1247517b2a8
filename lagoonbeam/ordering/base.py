"""Interface of ordering policies."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.types import OrganisationName


class CellSource(enum.Enum):
    """Which cells a candidate may be placed on.

    GUARANTEED: as part of its organisation's guarantee. FREE: outside of
    guarantees.
    """

    GUARANTEED = "guaranteed"
    FREE = "free"


@dataclass(frozen=True)
class JobCandidate:
    """A queued job that the planner is to place next.

    Attributes:
        planned: The job.
        cell_source: Which cells it may be placed on.
    """

    planned: PlannedJob
    cell_source: CellSource


class OrderingPolicy(ABC):
    """Holds the queue of an availability zone and decides its order.

    The planner iterates over `iterate_candidates` and calls `mark_placed` or
    `mark_blocked` for each candidate before it takes the next one.

    Attributes:
        uses_reservations: Whether the planner reserves cells for a gang that
            does not fit.
        urgent_first: Whether urgent jobs outside guarantees go before other
            jobs. The planner sets it to false while urgent jobs hold their
            share of the slots.
    """

    uses_reservations = True
    urgent_first = True

    @abstractmethod
    def set_rules(
        self,
        rules: RulesDocument | None,
        guaranteed_organisations: set[OrganisationName],
    ) -> None:
        """Sets the rules in force.

        Args:
            rules: The rules; None if there are none.
            guaranteed_organisations: Organisations with a guarantee in this
                availability zone.
        """

    @abstractmethod
    def add(self, planned: PlannedJob) -> None:
        """Adds a job to the queue."""

    @abstractmethod
    def remove(self, planned: PlannedJob) -> None:
        """Removes a job from the queue."""

    def remove_placed(self, planned: PlannedJob) -> None:
        """Removes a job that was placed on a reservation."""
        self.remove(planned)

    @abstractmethod
    def iterate_candidates(self) -> Iterator[JobCandidate]:
        """Yields the candidates of one scheduling pass, in order."""

    @abstractmethod
    def mark_placed(self, candidate: JobCandidate) -> None:
        """Removes a candidate that was placed from the queue."""

    @abstractmethod
    def mark_blocked(self, candidate: JobCandidate) -> None:
        """Records that a candidate does not fit at present."""

    def compute_order_key(self, planned: PlannedJob) -> tuple[float, ...]:
        """Returns the sort key of a queued job; the lowest goes first."""
        return (planned.queued_at_s,)

    def retry_blocked(self, organisation: OrganisationName | None) -> None:  # noqa: B027
        """Lets candidates that were marked as blocked be tried again.

        Args:
            organisation: Whose guarantee has free cells again; None if any
                cells may be free.
        """

    def end_run(self, planned: PlannedJob, run_s: float) -> None:  # noqa: B027
        """Records that a job left its cells after a run of `run_s` seconds."""


ORDERING_POLICIES: PluginRegistry[type[OrderingPolicy]] = PluginRegistry(
    "ordering policy"
)
