"""Weighted fair sharing among organisations, then callers, then kinds.

Each organisation, caller and kind has a virtual time: the slot seconds it has
received, for organisations divided by their weight. The lowest virtual time
goes next. Work on a guarantee is not charged to its organisation. A competitor
that was idle starts at the system virtual time, so that idle time earns no
credit.

Queued jobs are grouped by organisation and shape. A pass only looks at the
heads of these queues and never scans all queued jobs.
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
    ORDERING_POLICIES,
    CellSource,
    JobCandidate,
    OrderingPolicy,
)
from lagoonbeam.types import JobId, OrganisationName


class VirtualTimes:
    """Virtual times of the competitors of one level, as in fair queueing."""

    def __init__(self) -> None:
        self._times: dict[Hashable, float] = {}
        self._system_virtual_time = 0.0

    def get(self, competitor: Hashable) -> float:
        """Returns the virtual time of a competitor."""
        return self._times.get(competitor, self._system_virtual_time)

    def activate(self, competitor: Hashable) -> None:
        """Raises an idle competitor to the system virtual time."""
        self._times[competitor] = max(
            self.get(competitor), self._system_virtual_time
        )

    def charge(self, competitor: Hashable, cost: float) -> None:
        """Adds a cost to the virtual time of a competitor."""
        start_virtual_time = self.get(competitor)
        self._system_virtual_time = max(
            self._system_virtual_time, start_virtual_time
        )
        self._times[competitor] = start_virtual_time + cost

    def refund(self, competitor: Hashable, cost: float) -> None:
        """Takes back a charge that was too high (or, if negative, too low)."""
        self._times[competitor] = self.get(competitor) - cost


@dataclass
class _QueueEntry:
    """A queued job; a removed one is discarded once it reaches the head."""

    planned: PlannedJob
    is_removed: bool = False


@dataclass
class _CallerQueue:
    """Jobs of one caller with equal kind and urgency, oldest first."""

    caller: str
    kind: str
    urgency_rank: int
    entries: collections.deque[_QueueEntry] = field(
        default_factory=collections.deque
    )


@dataclass
class _ShapeQueue:
    """Queued jobs of one organisation and shape, by caller queue."""

    organisation: OrganisationName
    key: ShapeKey
    caller_queues: dict[tuple[str, str, int], _CallerQueue] = field(
        default_factory=dict
    )
    caller_queue_heap: list[tuple[tuple[float, ...], int, _CallerQueue]] = (
        field(default_factory=list)
    )


@ORDERING_POLICIES.register("fair_share")
class FairShareOrdering(OrderingPolicy):
    """Serves guarantees first, then shares other cells by weight."""

    def __init__(self) -> None:
        self._weights: dict[OrganisationName, float] = {}
        self._guaranteed_organisations: set[OrganisationName] = set()
        self._organisation_times = VirtualTimes()
        self._caller_times = VirtualTimes()
        self._kind_times = VirtualTimes()
        self._shape_queues: dict[
            tuple[OrganisationName, ShapeKey], _ShapeQueue
        ] = {}
        self._queues_by_organisation: dict[
            OrganisationName, dict[ShapeKey, _ShapeQueue]
        ] = collections.defaultdict(dict)
        self._queue_heaps_by_shape: dict[
            ShapeKey, list[tuple[float, int, _ShapeQueue]]
        ] = collections.defaultdict(list)
        self._organisations_to_try: dict[OrganisationName, None] = {}
        self._blocked_guarantees: set[tuple[OrganisationName, ShapeKey]] = set()
        self._blocked_shapes: set[ShapeKey] = set()
        self._entries_by_job: dict[JobId, _QueueEntry] = {}
        self._push_count = 0

    def set_rules(
        self,
        rules: RulesDocument | None,
        guaranteed_organisations: set[OrganisationName],
    ) -> None:
        """Sets the weights and the organisations with a guarantee."""
        organisations = rules.organisations if rules else ()
        self._weights = {
            organisation.name: organisation.weight
            for organisation in organisations
        }
        self._guaranteed_organisations = guaranteed_organisations
        self.retry_blocked(None)

    def add(self, planned: PlannedJob) -> None:
        """Adds a job at the end of its caller's queue.

        A job that has been started before goes to the front.
        """
        job = planned.job
        organisation_name, key = job.organisation, planned.key
        shape_queue = self._shape_queues.get((organisation_name, key))
        if shape_queue is None:
            shape_queue = _ShapeQueue(organisation_name, key)
            self._shape_queues[organisation_name, key] = shape_queue
            if not self._queues_by_organisation[organisation_name]:
                self._organisation_times.activate(organisation_name)
            self._queues_by_organisation[organisation_name][key] = shape_queue
            self._push_shape_queue(shape_queue)
            if organisation_name in self._guaranteed_organisations:
                self._organisations_to_try[organisation_name] = None
        queue_key = (job.caller, job.kind, planned.urgency_rank)
        caller_queue = shape_queue.caller_queues.get(queue_key)
        if caller_queue is None:
            self._caller_times.activate((organisation_name, job.caller))
            self._kind_times.activate((organisation_name, job.caller, job.kind))
            caller_queue = _CallerQueue(
                job.caller, job.kind, planned.urgency_rank
            )
            shape_queue.caller_queues[queue_key] = caller_queue
            self._push_caller_queue(shape_queue, caller_queue)
        entry = _QueueEntry(planned)
        self._entries_by_job[job.job_id] = entry
        if planned.started_at_s:
            caller_queue.entries.appendleft(entry)
        else:
            caller_queue.entries.append(entry)

    def remove(self, planned: PlannedJob) -> None:
        """Marks a job as removed; its entry is discarded at the head."""
        self._entries_by_job.pop(planned.job.job_id).is_removed = True

    def remove_placed(self, planned: PlannedJob) -> None:
        """Removes and charges a job that was placed on its reservation."""
        self.remove(planned)
        self._charge(planned, planned.estimated_run_s)

    def iterate_candidates(self) -> Iterator[JobCandidate]:
        """Yields queue heads for guarantees, then by fair share."""
        yield from self._iterate_guaranteed()
        candidate_shapes = [
            key
            for key in self._queue_heaps_by_shape
            if key not in self._blocked_shapes
        ]
        shape_heap = [
            (self._compute_shape_order_key(key), position, key)
            for position, key in enumerate(candidate_shapes)
        ]
        heapq.heapify(shape_heap)
        while shape_heap:
            order_key, index, key = heapq.heappop(shape_heap)
            current_key = self._compute_shape_order_key(key)
            if (
                key in self._blocked_shapes
                or key not in self._queue_heaps_by_shape
            ):
                continue
            if current_key > order_key:
                heapq.heappush(shape_heap, (current_key, index, key))
                continue
            head_job = self._find_head_job(
                self._queue_heaps_by_shape[key][0][2]
            )
            if head_job is not None:
                yield JobCandidate(head_job, CellSource.FREE)
            heapq.heappush(shape_heap, (current_key, index, key))

    def mark_placed(self, candidate: JobCandidate) -> None:
        """Removes a placed job and charges its expected run time."""
        planned = candidate.planned
        job = planned.job
        shape_queue = self._shape_queues[job.organisation, planned.key]
        caller_queue = shape_queue.caller_queues[
            job.caller, job.kind, planned.urgency_rank
        ]
        caller_queue.entries.popleft()
        del self._entries_by_job[job.job_id]
        self._charge(planned, planned.estimated_run_s)
        self._find_head_job(shape_queue)

    def mark_blocked(self, candidate: JobCandidate) -> None:
        """Excludes its shape from that source until `retry_blocked`."""
        key = candidate.planned.key
        if candidate.cell_source is CellSource.GUARANTEED:
            self._blocked_guarantees.add(
                (candidate.planned.job.organisation, key)
            )
        else:
            self._blocked_shapes.add(key)

    def compute_order_key(self, planned: PlannedJob) -> tuple[float, ...]:
        """Sorts by the organisation's virtual time, urgency and age."""
        virtual_time = self._organisation_times.get(planned.job.organisation)
        return (virtual_time, planned.urgency_rank, planned.queued_at_s)

    def retry_blocked(self, organisation: OrganisationName | None) -> None:
        """Lets blocked shapes be tried again; see `OrderingPolicy`."""
        self._blocked_shapes.clear()
        if organisation is None:
            self._blocked_guarantees.clear()
            organisation_names = [
                organisation_name
                for organisation_name in self._queues_by_organisation
                if organisation_name in self._guaranteed_organisations
            ]
            self._organisations_to_try = dict.fromkeys(organisation_names)
            return
        shape_queues = self._queues_by_organisation.get(organisation, {})
        self._blocked_guarantees.difference_update(
            (organisation, key) for key in shape_queues
        )
        if shape_queues and organisation in self._guaranteed_organisations:
            self._organisations_to_try[organisation] = None

    def end_run(self, planned: PlannedJob, run_s: float) -> None:
        """Corrects the charge from the expected to the actual run time."""
        self._charge(planned, run_s - planned.estimated_run_s)

    def _iterate_guaranteed(self) -> Iterator[JobCandidate]:
        while self._organisations_to_try:
            organisation_name = next(iter(self._organisations_to_try))
            candidates = [
                head_job
                for key, shape_queue in list(
                    self._queues_by_organisation[organisation_name].items()
                )
                if (organisation_name, key) not in self._blocked_guarantees
                and (head_job := self._find_head_job(shape_queue)) is not None
            ]
            if not candidates:
                self._organisations_to_try.pop(organisation_name, None)
                continue
            head_job = min(
                candidates,
                key=lambda planned: self._compute_guarantee_order_key(planned),
            )
            yield JobCandidate(head_job, CellSource.GUARANTEED)

    def _compute_guarantee_order_key(
        self, planned: PlannedJob
    ) -> tuple[float, ...]:
        job = planned.job
        return (
            planned.urgency_rank,
            self._caller_times.get((job.organisation, job.caller)),
            self._kind_times.get((job.organisation, job.caller, job.kind)),
            planned.queued_at_s,
        )

    def _compute_shape_order_key(self, key: ShapeKey) -> tuple[bool, float]:
        """Returns the sort key of a shape; urgent shapes go first."""
        heap_top = self._find_heap_top(key)
        is_first = key.urgent and self.urgent_first
        return (not is_first, heap_top[0] if heap_top else math.inf)

    def _find_heap_top(
        self, key: ShapeKey
    ) -> tuple[float, int, _ShapeQueue] | None:
        """Returns the heap item of a shape's next queue, or None.

        Virtual times may grow while a queue is in the heap. Outdated items
        are pushed again with the current time when they reach the top.
        """
        heap = self._queue_heaps_by_shape.get(key, [])
        while heap:
            pushed_virtual_time, _, shape_queue = heap[0]
            if (
                self._shape_queues.get((shape_queue.organisation, key))
                is not shape_queue
            ):
                heapq.heappop(heap)
                continue
            current_virtual_time = self._organisation_times.get(
                shape_queue.organisation
            )
            if current_virtual_time <= pushed_virtual_time:
                return heap[0]
            heapq.heappop(heap)
            self._push_shape_queue(shape_queue)
        self._queue_heaps_by_shape.pop(key, None)
        return None

    def _find_head_job(self, shape_queue: _ShapeQueue) -> PlannedJob | None:
        """Returns the next job of a queue; deletes the queue if it is empty."""
        while shape_queue.caller_queue_heap:
            order_key, _, caller_queue = shape_queue.caller_queue_heap[0]
            while caller_queue.entries and caller_queue.entries[0].is_removed:
                caller_queue.entries.popleft()
            if not caller_queue.entries:
                heapq.heappop(shape_queue.caller_queue_heap)
                del shape_queue.caller_queues[
                    caller_queue.caller,
                    caller_queue.kind,
                    caller_queue.urgency_rank,
                ]
                continue
            if (
                self._compute_queue_order_key(shape_queue, caller_queue)
                <= order_key
            ):
                return caller_queue.entries[0].planned
            heapq.heappop(shape_queue.caller_queue_heap)
            self._push_caller_queue(shape_queue, caller_queue)
        self._shape_queues.pop(
            (shape_queue.organisation, shape_queue.key), None
        )
        shape_queues = self._queues_by_organisation[shape_queue.organisation]
        shape_queues.pop(shape_queue.key, None)
        if not shape_queues:
            del self._queues_by_organisation[shape_queue.organisation]
            self._organisations_to_try.pop(shape_queue.organisation, None)
        return None

    def _compute_queue_order_key(
        self, shape_queue: _ShapeQueue, caller_queue: _CallerQueue
    ) -> tuple[float, ...]:
        organisation_name = shape_queue.organisation
        return (
            caller_queue.urgency_rank,
            self._caller_times.get((organisation_name, caller_queue.caller)),
            self._kind_times.get(
                (organisation_name, caller_queue.caller, caller_queue.kind)
            ),
        )

    def _push_caller_queue(
        self, shape_queue: _ShapeQueue, caller_queue: _CallerQueue
    ) -> None:
        self._push_count += 1
        order_key = self._compute_queue_order_key(shape_queue, caller_queue)
        heapq.heappush(
            shape_queue.caller_queue_heap,
            (order_key, self._push_count, caller_queue),
        )

    def _push_shape_queue(self, shape_queue: _ShapeQueue) -> None:
        self._push_count += 1
        virtual_time = self._organisation_times.get(shape_queue.organisation)
        heap_item = (virtual_time, self._push_count, shape_queue)
        heapq.heappush(self._queue_heaps_by_shape[shape_queue.key], heap_item)

    def _charge(self, planned: PlannedJob, run_s: float) -> None:
        job = planned.job
        placement = planned.placement
        slots = placement.slots if placement else 1
        cost = slots * run_s
        organisation_name = job.organisation
        if not placement or placement.standing is not Standing.GUARANTEED:
            weighted_cost = cost / self._weights.get(organisation_name, 1.0)
            self._organisation_times.charge(organisation_name, weighted_cost)
        self._caller_times.charge((organisation_name, job.caller), cost)
        self._kind_times.charge((organisation_name, job.caller, job.kind), cost)
