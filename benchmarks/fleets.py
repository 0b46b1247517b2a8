"""Fleets to simulate: two current deployments and the target size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from lagoonbeam.core.rules import (
    Guarantee,
    JobKind,
    Organisation,
    PolicyNames,
    RackDeclaration,
    RulesDocument,
)
from lagoonbeam.core.worker_pool import WorkerShape

GIB = 1 << 30


@dataclass(frozen=True)
class Fleet:
    """A deployment of identical zones.

    Attributes:
        name: Name of the deployment.
        zones: Names of the availability zones.
        workers_per_zone: Number of workers in each zone.
        rack_size: Number of workers in a full rack.
        accelerated_workers_per_zone: Number of workers in each zone that have
            8 accelerators.
        organisations: Number of organisations.
        memory_bytes: Memory of each worker.
    """

    name: str
    zones: tuple[str, ...]
    workers_per_zone: int
    rack_size: int
    accelerated_workers_per_zone: int
    organisations: int
    memory_bytes: int = 512 * GIB

    def iterate_worker_shapes(self, zone: str) -> Iterator[WorkerShape]:
        """Yields the workers of a zone, those with accelerators first."""
        for index in range(self.workers_per_zone):
            yield WorkerShape(
                worker=f"{zone}-w{index}",
                rack=f"{zone}-r{index // self.rack_size}",
                accelerators=8
                if index < self.accelerated_workers_per_zone
                else 0,
                memory_bytes=self.memory_bytes,
                position=index % self.rack_size,
            )

    @property
    def accelerator_slots(self) -> int:
        """Number of accelerators in all zones."""
        return 8 * self.accelerated_workers_per_zone * len(self.zones)

    def make_rules(
        self,
        policies: PolicyNames,
        *,
        guarantee_factor: int = 1,
        based_on: int = 0,
    ) -> RulesDocument:
        """Returns rules that guarantee about a third of the fleet.

        Args:
            policies: Names of the policies.
            guarantee_factor: Factor for the number of gangs guaranteed to each
                organisation; ignored with more than 4 organisations.
            based_on: Version of the rules that these replace.
        """
        guarantee_counts = [2, 1, 1]
        organisations = []
        for index in range(self.organisations):
            is_small_deployment = self.organisations <= 4
            count = (
                guarantee_counts[index] * guarantee_factor
                if is_small_deployment and index < 3
                else 0
            )
            slots = 8 if index < 2 else 4
            zones = self.zones
            if not is_small_deployment:
                count, slots = 1, (1, 2, 4)[index % 3]
                zones = (self.zones[index % len(self.zones)],)
            guarantees = tuple(
                Guarantee(availability_zone=zone, slots=slots, count=count)
                for zone in zones
                if count
            )
            organisations.append(
                Organisation(
                    name=f"org{index}",
                    weight=2.0 if index < 2 else 1.0,
                    guarantees=guarantees,
                    kinds=tuple(
                        JobKind(name=name)
                        for name in ("check", "render", "train", "buyer")
                    ),
                )
            )
        rack_declarations = tuple(
            RackDeclaration(
                availability_zone=zone, racks=racks, workers=workers
            )
            for zone, (racks, workers) in product(
                self.zones, self._list_rack_groups()
            )
        )
        return RulesDocument(
            based_on=based_on,
            organisations=tuple(organisations),
            fleet=rack_declarations,
            policies=policies,
        )

    def _list_rack_groups(self) -> list[tuple[int, int]]:
        full_racks, remaining_workers = divmod(
            self.accelerated_workers_per_zone, self.rack_size
        )
        racks = [(full_racks, self.rack_size)] if full_racks else []
        return racks + ([(1, remaining_workers)] if remaining_workers else [])


ARMOR = Fleet("armor", ("z1", "z2", "z3", "z4"), 6, 6, 6, 4)
VESTNES = Fleet(
    "vestnes", ("z1", "z2", "z3"), 8, 8, 8, 4, memory_bytes=256 * GIB
)
TARGET_FLEET = Fleet(
    "goal", tuple(f"z{index}" for index in range(8)), 138, 16, 24, 180
)
"""1,104 workers, 1,536 accelerators, 180 organisations."""
