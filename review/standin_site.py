"""Starts the project's instances against the stand-ins and records all."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

from standin_http import call, serve
from standin_store import Store
from standin_workers import CLOUD_HOST, SERVICE, Fleet

ROOT = Path(__file__).resolve().parents[1]
HOST_NAME = "jobs.example"
API_KEY = "key-of-armor"
RESTART_DELAY_S = 0.5
"""Delay after which the platform restarts a process that ended."""
PREFIX = "/batches/"
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
ROLE = DEPLOY["roles"]["node"]


def find_port(hosts: list[str]) -> int:
    """Returns a port that is free on all hosts."""
    while True:
        port = random.randrange(12_000, 30_000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port


class Site:
    """Instances of the project, with the platform around them.

    Args:
        record: File for what was sent, answered and run.
        instances: Number of instances.
        workers: Number of workers.
        keep_s: Seconds of history in the store.
        max_hold_ms: Longest lease of a run.
    """

    def __init__(
        self,
        record: Path,
        *,
        instances: int = 3,
        workers: int = 4,
        keep_s: float = 20,
        max_hold_ms: int = 6000,
    ):
        self._record = record.open("w")
        self._begun_s = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.names = [f"n{n}" for n in range(instances)]
        self.hosts = {f"n{n}": f"127.0.4.{n + 1}" for n in range(instances)}
        worker_hosts = [f"127.0.5.{n + 1}" for n in range(workers)]
        ports = [
            find_port(
                [*self.hosts.values(), *worker_hosts, CLOUD_HOST, "127.0.0.1"]
            )
            for _ in range(6)
        ]
        self.front, self.ready, self.peer, self.metrics = ports[:4]
        self._store_port, worker_port = ports[4:]
        self._keep_s, self._max_hold_ms = keep_s, max_hold_ms
        self.store = Store(keep_s)
        self.fleet = Fleet(
            self.store, worker_hosts, worker_port, max_hold_ms, self.log
        )
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def log(self, event: str, **fields: Any) -> None:
        """Adds an event to the record."""
        at_s = round(time.monotonic() - self._begun_s, 3)
        entry = {"at_s": at_s, "event": event, **fields}
        self.events.append(entry)
        self._record.write(json.dumps(entry) + "\n")

    def find(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Returns the recorded events of a kind with these fields."""
        return [
            entry
            for entry in self.events
            if entry["event"] == event
            and all(entry.get(k) == v for k, v in fields.items())
        ]

    async def start(self) -> None:
        """Starts everything and waits until all instances are ready."""
        configuration = {
            "version": 3,
            "routes": [
                {
                    "name": "r-batches",
                    "host": HOST_NAME,
                    "path_prefix": PREFIX,
                    "type": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 3000,
                    "priority": 2,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "stretch": 3.0,
                    "public": False,
                }
            ],
            "services": [{"name": SERVICE, "admission_check": True}],
            "tenants": [
                {
                    "name": "armor",
                    "api_keys": [API_KEY],
                    "guaranteed": {"gpu": 8},
                }
            ],
            "limits": {},
        }
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        await serve("127.0.0.1", self._store_port, self.store.handle)
        self._tasks += await self.fleet.start()
        for name in self.names:
            self.start_instance(name)
        await self.wait_until_ready(self.names, 30)

    def start_instance(self, name: str) -> None:
        """Starts an instance with the command of the deploy file."""
        settings = Path(self._folder.name) / f"{name}.yaml"
        settings.write_text(json.dumps(self._make_settings(name)))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {
            "LAGOONBEAM_BOOT": str(settings),
            "LAGOONBEAM_METRICS_PORT": str(self.metrics),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONUNBUFFERED": "1",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (Path(self._folder.name) / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                ROLE["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.log("instance_started", instance=name)

    async def stop_instance(self, name: str, signal_number: int) -> None:
        """Sends a signal that ends an instance and waits for its end."""
        process = self._processes[name]
        self.log("signal", instance=name, signal=signal.Signals(signal_number))
        process.send_signal(signal_number)
        while process.poll() is None:
            await asyncio.sleep(0.01)

    async def restart_ended_processes(self) -> None:
        """Starts processes again that end by themselves, as the platform."""
        while True:
            for name, process in list(self._processes.items()):
                if process.poll() is None:
                    continue
                errors = [
                    line for line in self._read_lines(name) if "Error" in line
                ]
                self.log(
                    "own_end",
                    instance=name,
                    code=process.returncode,
                    last_error=errors[-1:],
                )
                await asyncio.sleep(RESTART_DELAY_S)
                self.start_instance(name)
            await asyncio.sleep(0.05)

    async def restart_instance(self, name: str, signal_number: int) -> None:
        """Ends an instance, which the platform starts again."""
        await self.stop_instance(name, signal_number)
        await asyncio.sleep(RESTART_DELAY_S)
        self.start_instance(name)

    async def is_ready(self, name: str) -> bool:
        """Asks an instance for its readiness, as the platform does."""
        status, _ = await call(
            self.hosts[name], self.ready, "GET", "/lagoonbeam/ready"
        )
        return status == 200

    async def wait_until_ready(
        self, names: list[str], timeout_s: float
    ) -> None:
        """Waits until instances report themselves ready."""
        limit_s = time.monotonic() + timeout_s
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > limit_s:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.1)
        self.log("ready", instances=names)

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Returns the log lines of an instance."""
        lines = self._read_lines(name)
        return [json.loads(line) for line in lines if line.startswith("{")]

    def _read_lines(self, name: str) -> list[str]:
        path = Path(self._folder.name) / f"{name}.log"
        return path.read_text().splitlines() if path.exists() else []

    def find_active(self) -> str:
        """Returns the instance that issued the order with the highest term."""
        claims = [
            (line["term"], name)
            for name in self.names
            for line in self.read_log(name)
            if line.get("event") == "term.claimed"
        ]
        return max(claims)[1]

    async def call(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Makes a consumer's call to an instance and records it."""
        headers = {
            "Host": HOST_NAME,
            "Api-Key": API_KEY,
            "Content-Type": "application/json",
            "X-Lagoonbeam-Deadline-Ms": "3000",
        }
        self.log("sent", instance=name, call=f"{method} {path}")
        status, answer = await call(
            self.hosts[name],
            self.front,
            method,
            path,
            headers=headers,
            body=body,
            timeout_s=3.2,
        )
        self.log(
            "answered",
            instance=name,
            call=f"{method} {path}",
            status=status,
            body=answer,
        )
        return status, answer

    async def submit(
        self, name: str, steps: list[dict[str, Any]], run_s: float
    ) -> str | None:
        """Submits a job; returns its id if it was accepted."""
        # Names of work items that end in letters don't read as addresses.
        job = secrets.token_hex(7) + "0" + secrets.choice("abcdef")
        gpu = steps[0].get("gpu", 0)
        spec = json.dumps({"run_s": run_s, "gpu": gpu})
        status, _ = await self.call(
            name, "POST", PREFIX + job, {"spec": spec, "steps": steps}
        )
        return job if status == 200 else None

    def close(self) -> None:
        """Ends all processes that were started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for name in self.names:
            counts: Counter[str] = Counter()
            for line in self.read_log(name):
                event = line.get("event", "")
                counts[event] += 1
                if event in SHOWN_EVENTS and counts[event] <= MAX_SHOWN:
                    shown = {"log_of": name, **line}
                    self._record.write(json.dumps(shown) + "\n")
        self._record.close()
        self._folder.cleanup()

    def _make_settings(self, name: str) -> dict[str, Any]:
        host = self.hosts[name]
        seeds = [f"{h}:{self.peer}" for h in list(self.hosts.values())[:3]]
        return {
            "node_name": name,
            "role": "node",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": "z1",
            "region": "area",
            "zones": {"z1": "area"},
            "listen_addrs": {
                "front": f"{host}:{self.front}",
                "ready": f"{host}:{self.ready}",
                "control": f"{host}:{self.peer}",
            },
            "internal_ports": [self.peer, self.peer],
            "seeds": seeds,
            "bootstrap": True,
            "data_dir": None,
            "heartbeat_ms": 1500,
            "bounds": {
                "max_hold_ms": self._max_hold_ms,
                "config_apply_ms": 2000,
                "grace_s": 6,
            },
            "orders": "call",
            "platform": {
                "address": f"127.0.0.1:{self._store_port}",
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": self._keep_s,
            },
            "cloud": {
                "address": f"{CLOUD_HOST}:{self.fleet.port}",
                "rate_per_s": 60.0,
                "duties": [],
                "duty_per_s": 60.0,
            },
        }


MAX_SHOWN = 40
"""Most lines of one event copied from an instance's log into the record."""
SHOWN_EVENTS = {
    "instance.start",
    "instance.stop",
    "journal.truncated",
    "machine.upkeep",
    "run.ended",
    "run.start",
    "run.stop",
    "snapshot.failed",
    "snapshot.loaded",
    "term.claimed",
    "term.lost",
    "wave.begun",
    "wave.completed",
    "worker.gone",
    "worker.lapsed",
    "worker.restarted",
}
"""Events of the instances' logs that are copied into the record."""
