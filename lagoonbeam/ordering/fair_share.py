"""Weighted fair share over organisations, then callers, then kinds.

Each organisation, caller and kind has a virtual time: the slot seconds it was
given, divided by its weight. The lowest goes next. One that was idle starts
at the virtual time of the others, so idleness earns no credit.

Queued jobs are grouped by organisation and shape; a pass tries one head of
each group and never scans the queue.
"""

from __future__ import annotations

import collections
import heapq
import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from lagoonbeam.core.planned_job import PlannedJob, ShapeKey, Standing
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.ordering.base import (
    ORDERINGS,
    Candidate,
    OrderingPolicy,
    Route,
)
from lagoonbeam.types import JobId, OrganisationName


class VirtualClock:
    """Virtual times of competitors of one kind."""

    def __init__(self) -> None:
        self._times: dict[Hashable, float] = {}
        self._floor = 0.0

    def get(self, name: Hashable) -> float:
        """Returns the virtual time of a competitor."""
        return self._times.get(name, self._floor)

    def wake(self, name: Hashable) -> None:
        """Brings a competitor that was idle up to the others."""
        self._times[name] = max(self.get(name), self._floor)

    def charge(self, name: Hashable, cost: float) -> None:
        """Charges a competitor for what it is given."""
        start = self.get(name)
        self._floor = max(self._floor, start)
        self._times[name] = start + cost

    def refund(self, name: Hashable, cost: float) -> None:
        """Corrects a charge that was too high (or, if negative, too low)."""
        self._times[name] = self.get(name) - cost


@dataclass
class _Ticket:
    """A job's place in the queue; a dropped one is passed over."""

    planned: PlannedJob
    dropped: bool = False


@dataclass
class _Leaf:
    """Equal jobs of one caller, oldest first."""

    caller: str
    kind: str
    rank: int
    tickets: collections.deque[_Ticket] = field(
        default_factory=collections.deque
    )


@dataclass
class _Group:
    """Queued jobs of one organisation and shape."""

    organisation: OrganisationName
    key: ShapeKey
    leaves: dict[tuple[str, str, int], _Leaf] = field(default_factory=dict)
    heap: list[tuple[tuple[float, ...], int, _Leaf]] = field(
        default_factory=list
    )


@ORDERINGS.register("fair_share")
class FairShareOrdering(OrderingPolicy):
    """Serves guarantees first, then shares the rest fairly."""

    def __init__(self) -> None:
        self._weights: dict[OrganisationName, float] = {}
        self._promised: set[OrganisationName] = set()
        self._organisations = VirtualClock()
        self._callers = VirtualClock()
        self._kinds = VirtualClock()
        self._groups: dict[tuple[OrganisationName, ShapeKey], _Group] = {}
        self._by_organisation: dict[
            OrganisationName, dict[ShapeKey, _Group]
        ] = collections.defaultdict(dict)
        self._by_shape: dict[ShapeKey, list[tuple[float, int, _Group]]] = (
            collections.defaultdict(list)
        )
        self._open: dict[OrganisationName, None] = {}
        self._closed: set[tuple[OrganisationName, ShapeKey]] = set()
        self._skipped: set[ShapeKey] = set()
        self._tickets: dict[JobId, _Ticket] = {}
        self._sequence = 0

    def set_rules(
        self, rules: RulesDocument | None, promised: set[OrganisationName]
    ) -> None:
        """Takes weights and who has a guarantee here."""
        organisations = rules.organisations if rules else ()
        self._weights = {each.name: each.weight for each in organisations}
        self._promised = promised
        self.reopen(None)

    def add(self, planned: PlannedJob) -> None:
        """Queues a job behind its caller's equal ones."""
        job = planned.job
        name, key = job.organisation, planned.key
        group = self._groups.get((name, key))
        if group is None:
            group = _Group(name, key)
            self._groups[name, key] = group
            if not self._by_organisation[name]:
                self._organisations.wake(name)
            self._by_organisation[name][key] = group
            self._push_group(group)
            if name in self._promised:
                self._open[name] = None
        leaf_key = (job.caller, job.kind, planned.urgency_rank)
        leaf = group.leaves.get(leaf_key)
        if leaf is None:
            self._callers.wake((name, job.caller))
            self._kinds.wake((name, job.caller, job.kind))
            leaf = _Leaf(job.caller, job.kind, planned.urgency_rank)
            group.leaves[leaf_key] = leaf
            self._push_leaf(group, leaf)
        ticket = _Ticket(planned)
        self._tickets[job.job_id] = ticket
        if planned.started_at_s:
            leaf.tickets.appendleft(ticket)
        else:
            leaf.tickets.append(ticket)

    def discard(self, planned: PlannedJob) -> None:
        """Marks a job's ticket; it is passed over when its turn comes."""
        self._tickets.pop(planned.job.job_id).dropped = True

    def take(self, planned: PlannedJob) -> None:
        """Charges a job that was placed without being offered."""
        self.discard(planned)
        self._charge(planned, planned.estimated_run_s)

    def iterate(self) -> Iterator[Candidate]:
        """Yields heads for guarantees, then heads by fair share."""
        yield from self._iterate_guaranteed()
        open_shapes = [
            key for key in self._by_shape if key not in self._skipped
        ]
        tops = [
            (self._rate_shape(key), n, key) for n, key in enumerate(open_shapes)
        ]
        heapq.heapify(tops)
        while tops:
            rate, number, key = heapq.heappop(tops)
            current = self._rate_shape(key)
            if key in self._skipped or key not in self._by_shape:
                continue
            if current > rate:
                heapq.heappush(tops, (current, number, key))
                continue
            head = self._find_head(self._by_shape[key][0][2])
            if head is not None:
                yield Candidate(head, Route.FREE)
            heapq.heappush(tops, (current, number, key))

    def accept(self, candidate: Candidate) -> None:
        """Charges its organisation, caller and kind."""
        planned = candidate.planned
        job = planned.job
        group = self._groups[job.organisation, planned.key]
        leaf = group.leaves[job.caller, job.kind, planned.urgency_rank]
        leaf.tickets.popleft()
        del self._tickets[job.job_id]
        self._charge(planned, planned.estimated_run_s)
        self._find_head(group)

    def skip(self, candidate: Candidate) -> None:
        """Passes over its shape until room may have changed."""
        key = candidate.planned.key
        if candidate.route is Route.GUARANTEED:
            self._closed.add((candidate.planned.job.organisation, key))
        else:
            self._skipped.add(key)

    def rate(self, planned: PlannedJob) -> tuple[float, ...]:
        """Rates by the organisation's share, then by age."""
        share = self._organisations.get(planned.job.organisation)
        return (share, planned.urgency_rank, planned.queued_at_s)

    def reopen(self, organisation: OrganisationName | None) -> None:
        """Tries again what had no room."""
        self._skipped.clear()
        if organisation is None:
            self._closed.clear()
            names = [n for n in self._by_organisation if n in self._promised]
            self._open = dict.fromkeys(names)
            return
        shapes = self._by_organisation.get(organisation, {})
        self._closed.difference_update((organisation, key) for key in shapes)
        if shapes and organisation in self._promised:
            self._open[organisation] = None

    def settle(self, planned: PlannedJob, run_s: float) -> None:
        """Corrects the charge by what the job really used."""
        self._charge(planned, run_s - planned.estimated_run_s)

    def _iterate_guaranteed(self) -> Iterator[Candidate]:
        while self._open:
            name = next(iter(self._open))
            candidates = [
                head
                for key, group in list(self._by_organisation[name].items())
                if (name, key) not in self._closed
                and (head := self._find_head(group)) is not None
            ]
            if not candidates:
                self._open.pop(name, None)
                continue
            head = min(candidates, key=lambda each: self._rate(each))
            yield Candidate(head, Route.GUARANTEED)

    def _rate(self, planned: PlannedJob) -> tuple[float, ...]:
        job = planned.job
        return (
            planned.urgency_rank,
            self._callers.get((job.organisation, job.caller)),
            self._kinds.get((job.organisation, job.caller, job.kind)),
            planned.queued_at_s,
        )

    def _rate_shape(self, key: ShapeKey) -> tuple[bool, float]:
        """Rates the best group of a shape; urgent work goes first."""
        top = self._find_top(key)
        goes_first = key.urgent and self.urgent_first
        return (not goes_first, top[0] if top else math.inf)

    def _find_top(self, key: ShapeKey) -> tuple[float, int, _Group] | None:
        heap = self._by_shape.get(key, [])
        while heap:
            share, _, group = heap[0]
            if self._groups.get((group.organisation, key)) is not group:
                heapq.heappop(heap)
                continue
            current = self._organisations.get(group.organisation)
            if current <= share:
                return heap[0]
            heapq.heappop(heap)
            self._push_group(group)
        self._by_shape.pop(key, None)
        return None

    def _find_head(self, group: _Group) -> PlannedJob | None:
        """Returns the group's next job; drops the group if it has none."""
        while group.heap:
            rate, _, leaf = group.heap[0]
            while leaf.tickets and leaf.tickets[0].dropped:
                leaf.tickets.popleft()
            if not leaf.tickets:
                heapq.heappop(group.heap)
                del group.leaves[leaf.caller, leaf.kind, leaf.rank]
                continue
            if self._rate_leaf(group, leaf) <= rate:
                return leaf.tickets[0].planned
            heapq.heappop(group.heap)
            self._push_leaf(group, leaf)
        self._groups.pop((group.organisation, group.key), None)
        shapes = self._by_organisation[group.organisation]
        shapes.pop(group.key, None)
        if not shapes:
            del self._by_organisation[group.organisation]
            self._open.pop(group.organisation, None)
        return None

    def _rate_leaf(self, group: _Group, leaf: _Leaf) -> tuple[float, ...]:
        name = group.organisation
        return (
            leaf.rank,
            self._callers.get((name, leaf.caller)),
            self._kinds.get((name, leaf.caller, leaf.kind)),
        )

    def _push_leaf(self, group: _Group, leaf: _Leaf) -> None:
        self._sequence += 1
        rate = self._rate_leaf(group, leaf)
        heapq.heappush(group.heap, (rate, self._sequence, leaf))

    def _push_group(self, group: _Group) -> None:
        self._sequence += 1
        share = self._organisations.get(group.organisation)
        entry = (share, self._sequence, group)
        heapq.heappush(self._by_shape[group.key], entry)

    def _charge(self, planned: PlannedJob, run_s: float) -> None:
        job = planned.job
        placement = planned.placement
        slots = placement.slots if placement else 1
        cost = slots * run_s
        name = job.organisation
        if not placement or placement.standing is not Standing.GUARANTEED:
            share = cost / self._weights.get(name, 1.0)
            self._organisations.charge(name, share)
        self._callers.charge((name, job.caller), cost)
        self._kinds.charge((name, job.caller, job.kind), cost)
