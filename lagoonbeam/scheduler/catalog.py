"""What the platform's instance list says, read at a steady rate."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import anyio

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.core.worker_pool import WorkerShape
from lagoonbeam.errors import ImpossibleShapeError, UnavailableError
from lagoonbeam.instances.base import InstanceDirectory, InstanceEntry
from lagoonbeam.types import ZoneName


class Catalog:
    """The latest instance list; a hint, never proof.

    Args:
        directory: Adapter for the list.
        on_change: Called after each reading.
    """

    def __init__(
        self, directory: InstanceDirectory, on_change: Callable[[], None]
    ):
        self.entries: list[InstanceEntry] = []
        self._directory = directory
        self._on_change = on_change
        self._planners: dict[ZoneName, Planner] = {}
        self._rules: RulesDocument | None = None

    async def start(self) -> None:
        """Opens the adapter."""
        await self._directory.start()

    async def close(self) -> None:
        """Closes the adapter."""
        await self._directory.close()

    async def run(self) -> None:
        """Reads the list until cancelled; an old one is kept on failure."""
        while True:
            try:
                entries = await self._directory.list_instances()
            except UnavailableError:
                pass
            else:
                self._take(entries)
            await anyio.sleep(self._directory.settings.poll_s)

    def list_workers(self, zone: ZoneName) -> list[InstanceEntry]:
        """Returns a zone's workers, by name."""
        workers = (e for e in self.entries if e.role == "worker")
        return sorted(
            (e for e in workers if e.availability_zone == zone),
            key=lambda entry: entry.name,
        )

    def list_schedulers(self) -> list[InstanceEntry]:
        """Returns all schedulers."""
        return [entry for entry in self.entries if entry.role == "scheduler"]

    def list_zones(self) -> list[ZoneName]:
        """Returns the zones that have workers."""
        return sorted(self._planners)

    def find_possible(self, job: Job, rules: RulesDocument) -> list[ZoneName]:
        """Returns the zones whose listed workers could hold a gang.

        Args:
            job: The job.
            rules: The rules in force.

        Raises:
            ImpossibleShapeError: If there is none, though workers are listed.
        """
        if self._rules is not rules:
            self._rules = rules
            for planner in self._planners.values():
                planner.set_rules(rules)
        possible = []
        faults = []
        for zone, planner in self._planners.items():
            try:
                planner.check_job_feasible(job)
                possible.append(zone)
            except ImpossibleShapeError as error:
                faults.append(error.detail)
        if faults and not possible:
            raise ImpossibleShapeError("; ".join(faults))
        return possible

    def _take(self, entries: Iterable[InstanceEntry]) -> None:
        entries = list(entries)
        if entries != self.entries:
            self.entries = entries
            self._planners = self._build_planners()
            self._rules = None
        self._on_change()

    def _build_planners(self) -> dict[ZoneName, Planner]:
        planners: dict[ZoneName, Planner] = {}
        for entry in self.entries:
            if entry.role != "worker":
                continue
            zone = entry.availability_zone
            if zone not in planners:
                planners[zone] = Planner(zone, now=time.monotonic)
            planners[zone].add_worker(get_worker_shape(entry))
        return planners


def get_worker_shape(entry: InstanceEntry) -> WorkerShape:
    """Returns what a listed worker offers."""
    return WorkerShape(
        worker=entry.name,
        rack=entry.rack,
        slots=entry.slots,
        accelerators=entry.accelerators,
        cores=entry.cores,
        memory_bytes=entry.memory_bytes,
        position=entry.position,
    )
