"""What less urgent work may use: the workers lent to it, and those kept."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Set
from itertools import chain

from lagoonbeam.site.jobs import SchedulingUnit
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.reserve import ReservePolicy
from lagoonbeam.site.rooms import Room, Rooms, is_suited
from lagoonbeam.site.usage import WorkerUse


class Lending:
    """Bounds less urgent work during one plan.

    Args:
        by_service: Usable workers' room by service.
        covered: Identifiers of jobs that use a guarantee.
        guaranteed: Accelerators that all guarantees add up to.
        reserve: Bounds what less urgent work may use.
    """

    def __init__(
        self,
        by_service: Mapping[str, Rooms],
        covered: Set[str],
        guaranteed: int,
        reserve: ReservePolicy,
    ):
        self._by_service = by_service
        self._covered = covered
        self._guaranteed = guaranteed
        self._reserve = reserve
        self._allowed: dict[tuple[str, int], Rooms] = {}
        self._kept: dict[int, set[str]] = defaultdict(set)
        self.lent: dict[str, dict[str, SchedulingUnit]] = defaultdict(dict)
        self.urgent_accelerators: dict[str, int] = defaultdict(int)
        self.unstoppable: dict[str, int] = defaultdict(int)

    def note_use(self, worker: str, service: str, use: WorkerUse) -> None:
        """Takes the runs of a worker into account."""
        if use.lent:
            self.lent[worker] = dict(use.lent)
        self.urgent_accelerators[service] += use.urgent
        for unit in use.once:
            self.hold(unit, service, 1)

    def hold(self, unit: SchedulingUnit, service: str, tasks: int) -> None:
        """Takes tasks into account that no guarantee can reclaim."""
        request = unit.job.request
        if request.runs_once and request.job_id not in self._covered:
            used = tasks * unit.spec.accelerators
            self.unstoppable[service] += used

    def may_hold(self, unit: SchedulingUnit, policy: QueuePolicy) -> bool:
        """Whether a unit leaves the guarantees reclaimable.

        Work that must not be stopped may use only what nobody is guaranteed,
        or the guarantee of its own organisation.
        """
        request = unit.job.request
        if not request.runs_once or request.job_id in self._covered:
            return True
        rooms = self._by_service[policy.service].values()
        whole = sum(room.report.accelerators for room in rooms)
        needed = len(unit.tasks) * unit.spec.accelerators
        held = self.unstoppable[policy.service] + needed
        return held <= whole - self._guaranteed

    def get_allowed(self, policy: QueuePolicy) -> Rooms:
        """Returns the workers that less urgent work may use.

        Workers that run such work already come first, then whole racks in a
        fixed order, so that the rest stays free for urgent work.
        """
        key = (policy.service, policy.priority)
        if key not in self._allowed:
            self._allowed[key] = self._choose(policy)
        rooms = self._allowed[key]
        kept = set(
            chain.from_iterable(
                names
                for priority, names in self._kept.items()
                if priority < policy.priority
            )
        )
        if not kept:
            return rooms
        return {name: room for name, room in rooms.items() if name not in kept}

    def keep_for(
        self, unit: SchedulingUnit, policy: QueuePolicy, rooms: Rooms
    ) -> None:
        """Keeps a rack from less urgent work for the first waiting gang."""
        kept = self._kept[policy.priority]
        if kept or not self._reserve.keeps_racks:
            return
        racks: dict[str, list[Room]] = defaultdict(list)
        for room in rooms.values():
            if is_suited(room.report, unit.spec):
                racks[room.report.rack].append(room)
        if racks:
            count = len(unit.tasks)
            best = max(
                racks.values(),
                key=lambda rack: sum(
                    room.count_fitting(unit, count) for room in rack
                ),
            )
            kept.update(room.report.worker for room in best)

    def take_back(self, unit: SchedulingUnit) -> None:
        """Notes that a unit is being stopped."""
        for task in unit.tasks:
            if task.placement is not None:
                self.lent[task.placement.worker].pop(unit.key, None)

    def _choose(self, policy: QueuePolicy) -> Rooms:
        rooms = self._by_service[policy.service]
        sizes = [room.report.accelerators for room in rooms.values()]
        urgent = self.urgent_accelerators[policy.service]
        used = urgent / max(1, max(sizes, default=1))
        most = self._reserve.count_allowed(policy.priority, len(rooms), used)
        by_use = sorted(
            rooms,
            key=lambda name: (
                not self.lent.get(name),
                rooms[name].report.rack,
                name,
            ),
        )
        return {name: rooms[name] for name in by_use[:most]}
