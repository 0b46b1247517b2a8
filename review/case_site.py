"""Starts a small site on loopback for the third review's cases.

The instances are started with the command of the deploy file; the store and
the workers are stand-ins. All processes that were started are ended.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

REVIEW = Path(__file__).resolve().parent
ROOT = REVIEW.parent
HOST_NAME = "jobs.example"
RESTART_DELAY_S = 0.5
START_TIMEOUT_S = 30.0
CALL_ATTEMPTS = 4
"""Calls of a consumer for one answer; its pages give it four retries."""
RETRY_DELAY_S = 1.0
QUERY_ROUNDS = 3
"""Times that each instance is asked for a job."""
BOUNDS = {
    "seed_lag_s": 3,
    "contact_timeout_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 6000,
    "stop_timeout_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "fencing_required": True,
    "lease_ms": 3000,
}
"""The bounds of the site `tauverk-beam`, as its sheet gives them."""


class CannotRunError(Exception):
    """The case could not be run."""


@dataclass
class Reply:
    """What a client got; `status` is 0 if the channel broke or timed out."""

    status: int
    body: Any = None


@dataclass
class Tenant:
    """A tenant of the site, with one queue of its own."""

    name: str
    key: str
    prefix: str
    priority: int = 1
    guaranteed: int = 0


@dataclass
class SiteOptions:
    """Size and settings of a site."""

    tenants: list[Tenant]
    instances: int = 3
    workers: int = 4
    rack: int = 2
    memory_mb: int = 300
    keep_s: float = 300


def _find_free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class LoopbackSite:
    """The processes of one site.

    Args:
        options: Size and settings.
        record_path: File to which the record of the run is written.
    """

    def __init__(self, options: SiteOptions, record_path: Path):
        self.options = options
        self._record = record_path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._folder = tempfile.TemporaryDirectory()
        ports = _find_free_ports(6)
        self.store_port, self.worker_port, self._front = ports[:3]
        self._ready, self._peer, self._metrics = ports[3:]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._began_s = time.monotonic()
        self.began_at_s = time.time()
        self.names = [f"n{index}" for index in range(options.instances)]
        self.memory_kills: dict[str, int] = dict.fromkeys(self.names, 0)
        self.peak_mb: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self._is_supervising = threading.Event()
        self._is_off = threading.Event()

    def note(self, line: str) -> None:
        """Writes one line to the record and to standard output."""
        text = f"{time.monotonic() - self._began_s:8.3f} {line}"
        with self._lock:
            if not self._record.closed:
                self._record.write(text + "\n")
                self._record.flush()
            print(text, flush=True)

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends all processes that were started."""
        self._is_supervising.clear()
        for process in list(self._processes.values()):
            if process.poll() is None:
                process.kill()
        for process in list(self._processes.values()):
            process.wait()
        with self._lock:
            self._record.close()
        if logs := os.environ.get("CASE_LOGS"):
            shutil.copytree(self._folder.name, logs, dirs_exist_ok=True)
        self._folder.cleanup()

    def _start(self) -> None:
        store = ("--port", str(self.store_port))
        keep = ("--keep-s", str(self.options.keep_s))
        self._spawn_standin("store", "case_store.py", *store, *keep)
        self._wait(lambda: self._is_listening("127.0.0.1", self.store_port))
        self.publish_configuration(1)
        self._spawn_standin(
            "workers",
            "case_workers.py",
            *("--port", str(self.worker_port)),
            *("--store-port", str(self.store_port)),
            *("--count", str(self.options.workers)),
            *("--rack", str(self.options.rack)),
            *("--max-hold-ms", str(BOUNDS["max_hold_ms"])),
        )
        self._wait(lambda: self._is_listening("127.0.3.1", self.worker_port))
        for name in self.names:
            self.start_instance(name)
        for name in self.names:
            self._wait(lambda name=name: self.is_ready(name))
        self.note(f"ready: {len(self.names)} instances")

    def _spawn_standin(self, name: str, script: str, *options: str) -> None:
        command = [sys.executable, "-B", str(REVIEW / script), *options]
        self._spawn(name, command, dict(os.environ))

    def _spawn(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        log_path = Path(self._folder.name) / f"{name}.log"
        with log_path.open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def start_instance(self, name: str) -> None:
        """Starts an instance with the command of the deploy file."""
        settings = Path(self._folder.name) / f"{name}.yaml"
        settings.write_text(json.dumps(self._make_settings(name)))
        kept = ("PATH", "HOME", "LANG")
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LAGOONBEAM_BOOT"] = str(settings)
        environment["LAGOONBEAM_METRICS_PORT"] = str(self._metrics)
        self._spawn(name, ["python3", "platform/start.py"], environment)

    def _make_settings(self, name: str) -> dict[str, Any]:
        host = self.get_host(name)
        seeds = [f"{self.get_host(n)}:{self._peer}" for n in self.names[:3]]
        workers = f"127.0.3.1:{self.worker_port}"
        return {
            "node_name": name,
            "role": "node",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": "z0",
            "region": "r",
            "zones": {"z0": "r"},
            "listen_addrs": {
                "front": f"{host}:{self._front}",
                "ready": f"{host}:{self._ready}",
                "control": f"{host}:{self._peer}",
            },
            "internal_ports": [self._peer, self._peer],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": self.options.memory_mb,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "advice": None,
            "platform": {
                "address": f"127.0.0.1:{self.store_port}",
                "form": "log",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": self.options.keep_s,
            },
            "cloud": {"address": workers, "rate_per_s": 60.0, "duties": []},
        }

    def publish_configuration(self, version: int) -> None:
        """Writes the configuration as the operator does."""
        tenants = self.options.tenants
        configuration = {
            "version": version,
            "routes": [
                {
                    "name": f"q-{tenant.name}",
                    "host": HOST_NAME,
                    "path_prefix": tenant.prefix,
                    "priority": tenant.priority,
                    "service": "compute",
                    "max_attempts": 3,
                    "stretch": 3.0,
                    "target_latency_ms": 1000,
                    "timeout_ms": 10000,
                }
                for tenant in tenants
            ],
            "tenants": [
                {
                    "name": tenant.name,
                    "api_keys": [tenant.key],
                    "guaranteed": {"gpu": tenant.guaranteed},
                }
                for tenant in tenants
            ],
            "services": [{"name": "compute", "admission_check": True}],
            "limits": {"max_body_bytes": 262144},
        }
        self._call_standin(
            "127.0.0.1",
            self.store_port,
            "/standin/put?topic=keyed.op&key=config",
            configuration,
        )

    def _call_standin(
        self, host: str, port: int, target: str, body: Any = None
    ) -> Any:
        connection = http.client.HTTPConnection(host, port, timeout=10)
        try:
            method = "GET" if body is None else "POST"
            data = None if body is None else json.dumps(body)
            connection.request(method, target, data)
            text = connection.getresponse().read()
            return json.loads(text) if text else None
        finally:
            connection.close()

    def read_history(self) -> list[dict[str, Any]]:
        """Returns what the workers started, and how it ended."""
        events: list[dict[str, Any]] = self._call_standin(
            "127.0.3.1", self.worker_port, "/standin/history"
        )
        return events

    def set_unhealthy(self, worker: int, *, is_unhealthy: bool) -> None:
        """Makes a worker refuse all starts with 503, or accept them again."""
        self.set_worker_faults(worker, unhealthy=is_unhealthy)

    def set_worker_faults(self, worker: int, **faults: Any) -> str:
        """Sets faults of a worker.

        Returns:
            The name of the worker that carries out a start late, if any.
        """
        answer = self._call_standin(
            f"127.0.3.{worker + 1}", self.worker_port, "/standin/faults", faults
        )
        return str(answer["late"])

    def get_host(self, name: str) -> str:
        """Returns the address of an instance."""
        return f"127.0.4.{int(name[1:]) + 1}"

    def is_ready(self, name: str) -> bool:
        """Whether an instance answers the platform's readiness probe."""
        host = self.get_host(name)
        reply = _request(host, self._ready, "GET", "/lagoonbeam/ready", {}, 1)
        return reply.status == 200

    def call(
        self,
        method: str,
        tenant: Tenant,
        job_id: str,
        *,
        instance: str = "n0",
        body: Any = None,
        timeout_s: float = 3.0,
    ) -> Reply:
        """Makes a consumer's call."""
        headers = {
            "Host": HOST_NAME,
            "Api-Key": tenant.key,
            "Content-Type": "application/json",
            "X-Lagoonbeam-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        return _request(
            self.get_host(instance),
            self._front,
            method,
            tenant.prefix + job_id,
            headers,
            timeout_s,
            None if body is None else json.dumps(body),
        )

    def kill(self, name: str) -> None:
        """Kills an instance and waits for its end."""
        process = self._processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait()

    def supervise(self) -> None:
        """Does what the platform does for processes, until the end.

        It kills a process that exceeds the memory of its machine, and starts
        one that has ended again.
        """
        self._is_supervising.set()
        threading.Thread(target=self._supervise, daemon=True).start()

    def _supervise(self) -> None:
        while self._is_supervising.is_set():
            for name in self.names:
                self._check_instance(name)
            time.sleep(0.05)

    def _check_instance(self, name: str) -> None:
        process = self._processes[name]
        if process.poll() is not None:
            time.sleep(RESTART_DELAY_S)
            if self._is_supervising.is_set():
                self.start_instance(name)
                self.note(f"{name}: started again")
            return
        memory_mb = _read_memory_mb(process.pid)
        self.peak_mb[name] = max(self.peak_mb[name], memory_mb)
        if memory_mb > self.options.memory_mb:
            self.memory_kills[name] += 1
            self.note(f"{name}: killed, holds {memory_mb:.0f} MB")
            process.kill()
            process.wait()

    def _is_listening(self, host: str, port: int) -> bool:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.settimeout(1)
            probe.connect((host, port))
            return True
        return False

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits for a condition; returns whether it was met in time."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def _wait(self, condition: Callable[[], bool]) -> None:
        if not self.wait_until(condition, START_TIMEOUT_S):
            raise CannotRunError("a process did not become ready")


def _read_memory_mb(pid: int) -> float:
    """Returns the memory of a process that is its own, without its files."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def _request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    timeout_s: float,
    body: str | None = None,
) -> Reply:
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        text = response.read()
        value = None
        with contextlib.suppress(ValueError):
            value = json.loads(text)
        return Reply(response.status, value)
    except (OSError, http.client.HTTPException):
        return Reply(0)
    finally:
        connection.close()


def make_step(count: int = 1, gpu: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a step of a job."""
    return {"count": count, "cpu": 1000, "mem_mb": 100, "gpu": gpu, **fields}


def make_job(
    run_s: float, *steps: dict[str, Any], gpu: int = 1, **fields: Any
) -> dict[str, Any]:
    """Returns the body of a submission."""
    spec = json.dumps({"run_s": run_s, "gpu": gpu, **fields})
    return {"spec": spec, "steps": list(steps) or [make_step(gpu=gpu)]}


def submit(
    site: LoopbackSite, tenant: Tenant, body: dict[str, Any]
) -> str | None:
    """Submits a job; retries reach other instances.

    Returns:
        The job's identifier if it was accepted, otherwise None.
    """
    job_id = secrets.token_hex(8)
    first = secrets.randbelow(len(site.names))
    for attempt in range(CALL_ATTEMPTS):
        name = site.names[(first + attempt) % len(site.names)]
        reply = site.call("POST", tenant, job_id, instance=name, body=body)
        site.note(f"POST {job_id} at {name}: {reply.status}")
        if reply.status == 200:
            return job_id
        time.sleep(RETRY_DELAY_S)
    return None


def find_unanswered(
    site: LoopbackSite, tenant: Tenant, job_ids: list[str]
) -> list[str]:
    """Asks for accepted jobs; each is asked for at all instances in turn.

    Returns:
        The jobs for which no instance answered with a state.
    """
    waiting = list(job_ids)
    for _ in range(QUERY_ROUNDS):
        for name in site.names:
            unanswered = []
            for job_id in waiting:
                reply = site.call("GET", tenant, job_id, instance=name)
                site.note(
                    f"GET {job_id} at {name}: {reply.status} {reply.body}"
                )
                if reply.status != 200:
                    unanswered.append(job_id)
            waiting = unanswered
            if not waiting:
                return []
        time.sleep(RETRY_DELAY_S)
    return waiting


def has_trouble() -> bool:
    """Whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    options: SiteOptions,
    folder: Path,
    play: Callable[[LoopbackSite], bool],
) -> int:
    """Runs a case.

    Args:
        options: Size and settings of the site.
        folder: Folder of the case, for the record.
        play: Plays the case; returns whether the rule held.

    Returns:
        0 if the rule held, 1 if it was broken, 2 if the case cannot run.
    """
    try:
        with LoopbackSite(options, folder / "record.txt") as site:
            has_held = play(site)
            site.note("the rule held" if has_held else "the rule is BROKEN")
            return 0 if has_held else 1
    except (CannotRunError, OSError) as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        return 2
