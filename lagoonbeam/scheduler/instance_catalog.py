"""Polling of the platform's instance list."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterable

import anyio
import msgspec

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.core.worker_pool import WorkerShape
from lagoonbeam.errors import ImpossibleShapeError, UnavailableError
from lagoonbeam.instances.base import InstanceDirectory, InstanceEntry
from lagoonbeam.types import InstanceName, ZoneName

LEAVING_HOLD_S = 15.0
"""Seconds since the list last showed an instance as leaving, after which its
being live is believed; a list that falls behind shows an earlier state."""


class InstanceCatalog:
    """The latest instance list.

    The list may be outdated, so it proves nothing about an instance's state.

    Args:
        directory: Adapter for the instance list.
        on_read: Called after each successful read.

    Attributes:
        entries: Entries of the latest list.
    """

    def __init__(
        self, directory: InstanceDirectory, on_read: Callable[[], None]
    ):
        self.entries: list[InstanceEntry] = []
        self._directory = directory
        self._on_read = on_read
        self._planners: dict[ZoneName, Planner] = {}
        self._planner_rules: RulesDocument | None = None
        self._leaving_until_s: dict[InstanceName, float] = {}

    async def start(self) -> None:
        """Opens the adapter."""
        await self._directory.start()

    async def close(self) -> None:
        """Closes the adapter."""
        await self._directory.close()

    async def run(self) -> None:
        """Polls the list until cancelled; keeps the last one on a failure."""
        while True:
            with contextlib.suppress(UnavailableError):
                await self.refresh()
            await anyio.sleep(self._directory.settings.poll_s)

    async def refresh(self) -> None:
        """Reads the list once.

        Raises:
            UnavailableError: If the list cannot be read.
        """
        self._replace_entries(await self._directory.list_instances())

    def list_workers(self, zone: ZoneName) -> list[InstanceEntry]:
        """Returns a zone's workers, sorted by name."""
        workers = (e for e in self.entries if e.role == "worker")
        return sorted(
            (e for e in workers if e.availability_zone == zone),
            key=lambda entry: entry.name,
        )

    def list_schedulers(self) -> list[InstanceEntry]:
        """Returns the schedulers of all zones."""
        return [entry for entry in self.entries if entry.role == "scheduler"]

    def list_zones(self) -> list[ZoneName]:
        """Returns the zones that have workers, sorted by name."""
        return sorted(self._planners)

    def find_feasible_zones(
        self, job: Job, rules: RulesDocument
    ) -> list[ZoneName]:
        """Returns the zones whose listed workers could run a job's gang.

        Args:
            job: The job.
            rules: The rules in force.

        Raises:
            ImpossibleShapeError: If workers are listed but no zone can run it.
        """
        if self._planner_rules is not rules:
            self._planner_rules = rules
            for planner in self._planners.values():
                planner.set_rules(rules)
        feasible_zones = []
        reasons = []
        for zone, planner in self._planners.items():
            try:
                planner.check_job_feasible(job)
                feasible_zones.append(zone)
            except ImpossibleShapeError as error:
                reasons.append(error.detail)
        if reasons and not feasible_zones:
            raise ImpossibleShapeError("; ".join(reasons))
        return feasible_zones

    def _replace_entries(self, entries: Iterable[InstanceEntry]) -> None:
        entries = [self._keep_leaving(entry) for entry in entries]
        if entries != self.entries:
            self.entries = entries
            self._planners = self._build_planners()
            self._planner_rules = None
        self._on_read()

    def _keep_leaving(self, entry: InstanceEntry) -> InstanceEntry:
        """Returns the entry, as leaving if the list lately said so."""
        now_s = time.monotonic()
        if entry.state == "leaving":
            self._leaving_until_s[entry.name] = now_s + LEAVING_HOLD_S
        elif now_s < self._leaving_until_s.get(entry.name, now_s):
            return msgspec.structs.replace(entry, state="leaving")
        else:
            self._leaving_until_s.pop(entry.name, None)
        return entry

    def _build_planners(self) -> dict[ZoneName, Planner]:
        planners: dict[ZoneName, Planner] = {}
        for entry in self.entries:
            if entry.role != "worker":
                continue
            zone = entry.availability_zone
            if zone not in planners:
                planners[zone] = Planner(zone, now=time.monotonic)
            planners[zone].add_worker(make_worker_shape(entry))
        return planners


def make_worker_shape(entry: InstanceEntry) -> WorkerShape:
    """Returns the resources of a listed worker."""
    return WorkerShape(
        worker=entry.name,
        rack=entry.rack,
        slots=entry.slots,
        accelerators=entry.accelerators,
        cores=entry.cores,
        memory_bytes=entry.memory_bytes,
        position=entry.position,
    )
