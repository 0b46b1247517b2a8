"""Runs the processes of a site under drawn faults; ``make soak-site``.

Prints one line of JSON with the violations by rule; exits 1 if there are any.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import itertools
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from harness.site import Site, SiteConfig, make_configuration
from harness.site_judge import (
    find_false_answers,
    find_repeated_runs,
    find_unasked_starts,
)
from harness.site_load import SiteLoad
from harness.site_worker_faults import FAULT_KINDS, WorkerFaultInjector

RESTART_DELAY_S = 0.5
FINISH_S = 30.0
"""Time after the last fault in which all accepted jobs must end."""
LONG_FINISH_S = 90.0
"""The same with runs that outlast a lease."""
MALFORMED_ENTRIES = (
    b"[" * 5000 + b"]" * 5000,
    b'{"other": ' + b"[" * 5000 + b"]" * 5000 + b"}",
    b'{"service": "compute", "address": "127.0.3.1:80800", "zone": "z1",'
    b' "state": "ready", "born": 1, "labels": [],'
    b' "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 1}}',
    b'{"service": "compute", "address": "127.0.3.1:8080", "zone": "z1",'
    b' "state": "ready", "born": 1e999, "labels": [],'
    b' "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 1}}',
    b"\xff\xfe\x00",
)


@dataclass(frozen=True)
class SoakOptions:
    """What a run plays.

    Attributes:
        seed: Seed of all draws.
        duration_s: Time with faults, in seconds.
        submit_interval_s: Mean time between two submissions, in seconds.
        long_fraction: Fraction of the jobs whose runs outlast a lease.
        worker_fault_kinds: Faults of workers and their links, of `FAULT_KINDS`.
        plays_other_faults: Whether to play all other faults as well.
    """

    seed: int
    duration_s: float
    submit_interval_s: float = 0.12
    long_fraction: float = 0.0
    worker_fault_kinds: tuple[str, ...] = ()
    plays_other_faults: bool = True


class SiteSoak:
    """One run: a site, its callers, and faults drawn from a seed.

    Args:
        site: The running site.
        options: What is played.
    """

    def __init__(self, site: Site, options: SoakOptions):
        self._site = site
        self._options = options
        self._rng = random.Random(options.seed)
        self._duration_s = options.duration_s
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._stopped_names: set[str] = set()
        self._version = 1
        self._began_s = time.monotonic()
        self.own_ends: list[str] = []
        self.faults: list[str] = []
        self._worker_faults = WorkerFaultInjector(
            site,
            self._rng,
            self._after,
            self._log_fault,
            options.worker_fault_kinds,
        )

    def run(self) -> dict[str, list[str]]:
        """Plays the run; returns the violations by rule."""
        site = self._site
        urls = [
            f"http://{site.get_host(name)}:{site.front_port}"
            for name in site.instance_names
        ]
        options = self._options
        load = SiteLoad(
            urls,
            options.seed,
            options.submit_interval_s,
            options.long_fraction,
        )
        finish_s = LONG_FINISH_S if options.long_fraction else FINISH_S
        unfinished: list[str] = []

        async def play_load() -> None:
            await load.run(self._duration_s)
            open_jobs = await load.ask_for_all(finish_s)
            unfinished.extend(
                f"{job.job_id}: {job.shown_states[-1:]}" for job in open_jobs
            )
            await load.close()

        callers = threading.Thread(target=lambda: asyncio.run(play_load()))
        callers.start()
        self._play_faults()
        while callers.is_alive():
            self._watch_processes()
            time.sleep(0.05)
        history = site.read_worker_history()
        found = {
            "TWICE": list(find_repeated_runs(history)),
            "UNASKED": list(find_unasked_starts(history, load.jobs)),
            "MIXED": list(find_false_answers(history, load.jobs)),
            "LOST": unfinished,
            "FAULT": self.own_ends,
        }
        return {rule: items for rule, items in found.items() if items}

    def _play_faults(self) -> None:
        end_s = time.monotonic() + self._duration_s
        next_draw_s = time.monotonic() + 1.0
        while time.monotonic() < end_s or self._actions:
            now_s = time.monotonic()
            while self._actions and self._actions[0][0] <= now_s:
                heapq.heappop(self._actions)[2]()
            if next_draw_s <= now_s < end_s:
                self._draw_fault()
                next_draw_s = now_s + self._rng.uniform(0.1, 2.0)
            self._watch_processes()
            time.sleep(0.02)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (time.monotonic() + delay_s, next(self._counter), action)
        heapq.heappush(self._actions, entry)

    def _watch_processes(self) -> None:
        for name in self._site.instance_names:
            if name in self._stopped_names or self._site.is_running(name):
                continue
            code = self._site.processes[name].returncode
            self.own_ends.append(f"{name} ended by itself with {code}")
            self._stopped_names.add(name)
            self._after(RESTART_DELAY_S, lambda name=name: self._start(name))

    def _draw_fault(self) -> None:
        options = self._options
        if options.worker_fault_kinds and (
            not options.plays_other_faults or self._rng.random() < 0.6
        ):
            self._worker_faults.draw_fault()
            return
        faults = (
            self._end_instance,
            self._end_instance,
            self._pause_instance,
            self._restart_worker,
            self._restart_worker,
            self._disturb_worker,
            self._disturb_worker,
            self._disturb_store,
            self._cut_instances,
            self._write_malformed_entry,
            self._change_configuration,
            self._reload_settings,
        )
        self._rng.choice(faults)()

    def _log_fault(self, text: str) -> None:
        at_s = time.monotonic() - self._began_s
        self.faults.append(f"{at_s:.2f} {time.time():.2f} {text}")

    def _choose_instance(self) -> str | None:
        names = [
            name
            for name in self._site.instance_names
            if name not in self._stopped_names
        ]
        if not names:
            return None
        active = self._site.find_active_instance()
        if active in names and self._rng.random() < 0.5:
            return active
        return self._rng.choice(names)

    def _start(self, name: str) -> None:
        self._site.start_instance(name)
        self._stopped_names.discard(name)

    def _end_instance(self) -> None:
        name = self._choose_instance()
        if name is None:
            return
        number = self._rng.choice([signal.SIGKILL, signal.SIGTERM])
        self._log_fault(f"{name} gets {number.name}")
        self._stopped_names.add(name)
        self._site.send_signal(name, number)

        def restart() -> None:
            if self._site.is_running(name):
                self._after(0.1, restart)
            else:
                self._after(RESTART_DELAY_S, lambda: self._start(name))

        restart()

    def _pause_instance(self) -> None:
        name = self._choose_instance()
        if name is None:
            return
        pause_s = self._rng.choice([0.3, 2.0, 5.0, 14.0])
        self._log_fault(f"{name} pauses for {pause_s} s")
        process = self._site.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._after(pause_s, lambda: process.send_signal(signal.SIGCONT))

    def _draw_worker(self) -> int:
        return self._rng.randrange(self._site.config.worker_count)

    def _restart_worker(self) -> None:
        number = self._draw_worker()
        self._log_fault(f"w{number} restarts")
        self._site.control_worker(number, "crash")

    def _disturb_worker(self) -> None:
        number = self._draw_worker()
        fields: dict[str, Any] = self._rng.choice(
            [
                {"silent": True},
                {"late_s": self._rng.uniform(1.0, 6.0)},
                {"draining": True},
                {"unhealthy": True},
                {"stuck": True},
            ]
        )
        for_s = self._rng.uniform(0.5, 8.0)
        self._log_fault(f"w{number} {fields} for {for_s:.1f} s")
        self._site.control_worker(number, "faults", **fields)
        healed = dict.fromkeys(fields, 0)
        self._after(
            for_s, lambda: self._site.control_worker(number, "faults", **healed)
        )

    def _disturb_store(self) -> None:
        fields: dict[str, Any] = self._rng.choice(
            [
                {"silent": True},
                {"status": 503},
                {"status": 429},
                {"delay_s": self._rng.uniform(0.05, 0.5)},
                {"lose_answers": 0.3},
                {"late_appends": 0.2},
            ]
        )
        for_s = self._rng.uniform(0.3, 6.0)
        self._log_fault(f"store {fields} for {for_s:.1f} s")
        self._site.set_store_faults(**fields)
        healed = dict.fromkeys(fields, 0)
        self._after(for_s, lambda: self._site.set_store_faults(**healed))

    def _cut_instances(self) -> None:
        names = self._site.instance_names
        cut = self._rng.sample(names, self._rng.randint(1, len(names)))
        freeze = self._rng.random() < 0.3
        for_s = self._rng.uniform(0.5, 6.0)
        self._log_fault(
            f"{cut} cut from the store, {freeze=}, for {for_s:.1f} s"
        )
        self._site.cut_off_from_store(cut, freeze=freeze)
        self._after(for_s, lambda: self._site.cut_off_from_store([]))

    def _write_malformed_entry(self) -> None:
        entry = self._rng.choice(MALFORMED_ENTRIES)
        self._log_fault(f"malformed worker entry {entry[:40]!r}")
        self._put_entry(entry)
        self._after(self._rng.uniform(1.0, 6.0), lambda: self._put_entry(b""))

    def _put_entry(self, entry: bytes) -> None:
        url = f"{self._site.store_url}/standin/put?topic=keyed.servers"
        self._site.http_client.post(f"{url}&key=other-1", content=entry)

    def _change_configuration(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._log_fault(f"configuration {self._version}")
        self._site.publish_configuration(make_configuration(self._version))

    def _reload_settings(self) -> None:
        name = self._choose_instance()
        if name is not None:
            self._site.send_signal(name, signal.SIGHUP)


def main() -> None:
    """Plays one run and prints its verdict."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=40.0)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--submit-interval-s", type=float, default=0.12)
    parser.add_argument("--long-fraction", type=float, default=0.0)
    parser.add_argument("--slowest-clock-rate", type=float, default=1.0)
    parser.add_argument("--kill-delay-s", type=float, default=0.0)
    parser.add_argument("--stop-delay-s", type=float, default=0.1)
    parser.add_argument(
        "--worker-faults", nargs="*", default=[], choices=FAULT_KINDS
    )
    parser.add_argument("--only-worker-faults", action="store_true")
    parser.add_argument("--folder", type=Path, default=None)
    arguments = parser.parse_args()
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="site-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    config = SiteConfig(
        instance_count=arguments.instances,
        worker_count=arguments.workers,
        uses_relays=True,
        heartbeat_s=1.5,
        zone_count=arguments.zones,
        uses_worker_links=bool(arguments.worker_faults),
        worker_options=[
            *("--slowest-clock-rate", str(arguments.slowest_clock_rate)),
            *("--kill-delay-s", str(arguments.kill_delay_s)),
            *("--stop-delay-s", str(arguments.stop_delay_s)),
        ],
    )
    options = SoakOptions(
        seed=arguments.seed,
        duration_s=arguments.duration_s,
        submit_interval_s=arguments.submit_interval_s,
        long_fraction=arguments.long_fraction,
        worker_fault_kinds=tuple(arguments.worker_faults),
        plays_other_faults=not arguments.only_worker_faults,
    )
    with Site(config, folder) as site:
        soak = SiteSoak(site, options)
        violations = soak.run()
        (folder / "faults.txt").write_text("\n".join(soak.faults))
        (folder / "history.json").write_text(
            json.dumps(site.read_worker_history())
        )
    print(
        json.dumps(
            {
                "seed": arguments.seed,
                "folder": str(folder),
                "faults": len(soak.faults),
                "violations": violations,
            }
        )
    )
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
