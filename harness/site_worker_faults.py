"""Faults between the instances and the workers of a site, for the soak."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from typing import Any

from harness.site import Site

LINK_MODES = ("drop", "hold", "reset", "refuse", "lose_answers", "slow")
ADDRESS_REUSE_S = 2.0
"""Time after which another worker may use the address of one that ended."""
FAULT_KINDS = (
    "links",
    "answers",
    "listing",
    "restarts",
    "stale",
    "foreign",
)


class WorkerFaultInjector:
    """Draws faults of workers and of the links to them.

    Args:
        site: The running site; its instances use the workers' links.
        rng: Source of the draws.
        after: Calls a function after a time in seconds.
        log_fault: Records the description of a fault.
        kinds: The kinds of faults, of `FAULT_KINDS`.
    """

    def __init__(
        self,
        site: Site,
        rng: random.Random,
        after: Callable[[float, Callable[[], None]], None],
        log_fault: Callable[[str], None],
        kinds: tuple[str, ...],
    ):
        self._site = site
        self._rng = rng
        self._after = after
        self._log_fault = log_fault
        self._kinds = kinds
        self._busy_workers: set[int] = set()
        count = site.config.worker_count
        self._link_numbers = list(range(count))
        self._spare_links = list(range(count, count + 4))

    def draw_fault(self) -> None:
        """Injects one fault, which ends by itself."""
        faults: dict[str, Callable[[], None]] = {
            "links": self._harm_links,
            "answers": self._harm_answers,
            "listing": self._unlist_workers,
            "restarts": self._restart_behind_cut,
            "stale": self._restart_with_stale_entry,
            "foreign": self._write_foreign_entry,
        }
        faults[self._rng.choice(self._kinds)]()

    def _control(self, number: int, command: str, **fields: Any) -> None:
        self._site.control_worker(number, command, **fields)

    def _draw_workers(self) -> list[int]:
        """Draws some workers, or all of a zone."""
        count = self._site.config.worker_count
        zone_count = self._site.config.zone_count
        if zone_count > 1 and self._rng.random() < 0.4:
            zone_size = -(-count // zone_count)
            first = self._rng.randrange(zone_count) * zone_size
            drawn = list(range(first, min(count, first + zone_size)))
        else:
            drawn = self._rng.sample(range(count), self._rng.randint(1, 3))
        return [each for each in drawn if each not in self._busy_workers]

    def _occupy(self, numbers: list[int], for_s: float) -> None:
        self._busy_workers.update(numbers)
        self._after(
            for_s + 0.5, lambda: self._busy_workers.difference_update(numbers)
        )

    def _set_for(
        self, numbers: list[int], for_s: float, command: str, **fields: Any
    ) -> None:
        healed = {"mode": ""} if command == "link" else dict.fromkeys(fields, 0)

        def heal() -> None:
            for number in numbers:
                self._control(number, command, **healed)

        for number in numbers:
            self._control(number, command, **fields)
        self._after(for_s, heal)

    def _harm_links(self) -> None:
        numbers = self._draw_workers()
        for_s = self._rng.uniform(0.3, 12.0)
        fields: dict[str, Any] = {"mode": self._rng.choice(LINK_MODES)}
        if fields["mode"] == "slow":
            fields["delay_s"] = self._rng.uniform(0.05, 0.9)
        elif fields["mode"] != "refuse":
            term, _ = self._site.find_newest_term()
            fields |= self._rng.choice(
                [{}, {}, {"max_token": term}, {"min_token": term + 1}]
            )
        is_unlisted = self._rng.random() < 0.4
        self._log_fault(f"links {numbers} {fields} {for_s:.1f} s {is_unlisted}")
        self._occupy(numbers, for_s)
        self._set_for(numbers, for_s, "link", **fields)
        if is_unlisted:
            self._set_for(numbers, for_s, "faults", unlisted=True)

    def _harm_answers(self) -> None:
        numbers = self._draw_workers()
        for_s = self._rng.uniform(0.3, 8.0)
        fields: dict[str, Any] = self._rng.choice(
            [
                {"lose_answers": True},
                {"late_s": self._rng.uniform(0.5, 6.0), "late_orders": True},
            ]
        )
        self._log_fault(f"orders {numbers} {fields} {for_s:.1f} s")
        self._occupy(numbers, for_s)
        self._set_for(numbers, for_s, "faults", **fields)

    def _unlist_workers(self) -> None:
        numbers = self._draw_workers()
        for_s = self._rng.uniform(4.0, 10.0)
        with_store = self._rng.random() < 0.4
        self._log_fault(f"entries {numbers} {for_s:.1f} s {with_store=}")
        self._occupy(numbers, for_s)
        self._set_for(numbers, for_s, "faults", unlisted=True)
        if with_store:
            self._site.set_store_faults(status=503)
            self._after(for_s, lambda: self._site.set_store_faults(status=0))

    def _restart_behind_cut(self) -> None:
        numbers = self._draw_workers()[:4]
        mode = self._rng.choice(["drop", "hold", "reset", "refuse"])
        cut_s = self._rng.uniform(2.5, 10.0)
        off_s = self._rng.uniform(0.0, 0.5)
        self._log_fault(f"restarts {numbers} behind {mode}, {cut_s:.1f} s")
        self._occupy(numbers, cut_s + 1.0)
        self._set_for(numbers, cut_s, "link", mode=mode)
        self._after(off_s, lambda: self._restart(numbers, 0.3, moves=False))

    def _restart_with_stale_entry(self) -> None:
        numbers = self._draw_workers()[:4]
        delays_s = [self._rng.uniform(0.1, 5.0) for _ in range(3)]
        pause_s = self._rng.choice([0.3, ADDRESS_REUSE_S + 0.1])
        self._log_fault(f"restarts {numbers} {pause_s=} entries {delays_s}")
        self._occupy(numbers, pause_s + 6.0)
        self._restart(numbers, pause_s, moves=pause_s > ADDRESS_REUSE_S)
        for delay_s in delays_s:
            self._after(pause_s + delay_s, lambda: self._replay(numbers))

    def _restart(
        self, numbers: list[int], pause_s: float, *, moves: bool
    ) -> None:
        """Restarts workers; if they move, each gets the address of another."""

        def turn_on() -> None:
            links = [self._link_numbers[number] for number in numbers]
            shifted = links[1:] + links[:1]
            if len(links) == 1:
                shifted = [self._spare_links.pop(0)]
                self._spare_links.append(links[0])
            for number, link in zip(numbers, shifted, strict=True):
                if moves:
                    self._link_numbers[number] = link
                    self._control(number, "on", link=link)
                else:
                    self._control(number, "on")

        for number in numbers:
            self._control(number, "off")
        self._after(pause_s, turn_on)

    def _replay(self, numbers: list[int]) -> None:
        for number in numbers:
            self._control(number, "replay")

    def _write_foreign_entry(self) -> None:
        numbers = self._draw_workers()[:2]
        other = self._rng.randrange(self._site.config.worker_count)
        born = int(time.time() * 1000) - self._rng.randint(0, 60_000)
        entry = {
            "service": "compute",
            "address": f"127.0.5.{other + 1}:{self._site.worker_port}",
            "zone": "z1",
            "state": "ready",
            "capacity": {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8},
            "labels": ["a", "r0"],
            "born": born,
        }
        self._log_fault(f"foreign entries {numbers}: w{other}, {born=}")
        for number in numbers:
            self._site.http_client.post(
                f"{self._site.store_url}/standin/put"
                f"?topic=keyed.servers&key=w{number}",
                content=json.dumps(entry),
            )
