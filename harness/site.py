"""Runs a site on loopback: instances and stand-ins for the platform."""

from __future__ import annotations

import base64
import json
import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx

from harness.ports import reserve_free_ports
from harness.process_group import PROJECT_ROOT, ProcessGroup

API_KEY = "key-of-armor"
ROUTE_HOST = "jobs.example"
LEASE_MS = 4_000
PATH_PREFIXES = {0: "/checks/", 1: "/renders/", 2: "/batches/"}
"""Path prefix of the queue of each priority."""
ADVISED_PATH_PREFIX = "/advised/"
"""Path prefix of a queue whose placement advice allows only some workers."""
FIRST_TERM_TIMEOUT_S = 10.0
"""Time within which a site that is ready has claimed its first term."""


@dataclass
class SiteConfig:
    """Size of a site.

    Attributes:
        instance_count: Number of instances.
        worker_count: Number of workers, of 8 accelerators each.
        rack_size: Workers in a rack.
        uses_relays: Whether instances reach the store through a relay that
            can cut them off.
        spare_worker_count: How many workers, counted from the last, are
            machines of a spare pool.
        heartbeat_s: Seconds between two entries of a worker in the store.
        zone_count: Availability zones of the instances and workers.
        uses_worker_links: Whether instances reach the workers through links
            that can be harmed.
        worker_options: Further options of the workers' stand-in.
    """

    instance_count: int = 3
    worker_count: int = 4
    rack_size: int = 2
    uses_relays: bool = False
    spare_worker_count: int = 0
    heartbeat_s: float = 0.3
    zone_count: int = 1
    uses_worker_links: bool = False
    worker_options: Sequence[str] = ()


def make_configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Returns a configuration: a queue per priority and an advised one."""
    routes = [
        {
            "name": f"q{priority}",
            "host": ROUTE_HOST,
            "path_prefix": prefix,
            "priority": priority,
            "service": "compute",
            "max_attempts": 2,
            "stretch": 3.0,
            "target_latency_ms": 1000,
        }
        for priority, prefix in PATH_PREFIXES.items()
    ]
    routes.append(
        {
            **routes[1],
            "name": "advised",
            "path_prefix": ADVISED_PATH_PREFIX,
            "advice": {"decision_ms": 1, "per_worker_ms": 1, "valid_ms": 3000},
        }
    )
    tenant = {"name": "armor", "api_keys": [API_KEY], "guaranteed": {"gpu": 16}}
    return {
        "version": version,
        "routes": routes,
        "tenants": [tenant],
        "services": [{"name": "compute"}, {"name": "spare", "spare": True}],
        "limits": {},
        **changes,
    }


def make_step(count: int = 1, gpu: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a step of a job as it is submitted."""
    return {"count": count, "cpu": 1000, "mem_mb": 100, "gpu": gpu, **fields}


class Site(ProcessGroup):
    """Runs the processes of a site.

    Args:
        config: Size of the site.
        folder: Directory for the settings and logs of the run.
    """

    def __init__(self, config: SiteConfig, folder: Path):
        super().__init__(folder, timeout_s=5.0)
        self.config = config
        ports = reserve_free_ports(7)
        self.metrics_port = ports.pop()
        self.store_port, self.worker_port, self.relay_port = ports[:3]
        self.front_port, self.ready_port, self.peer_port = ports[3:]
        self.store_url = f"http://127.0.0.1:{self.store_port}"
        self.instance_names = [
            f"n{number}" for number in range(config.instance_count)
        ]

    def start(self) -> None:
        """Starts all processes and waits until every instance is ready."""
        port = str(self.store_port)
        self.start_process(
            "store", "-m", "standins.platform_store", "--port", port
        )
        self.wait_for_http(f"{self.store_url}/standin/counters")
        if self.config.uses_relays:
            port = str(self.relay_port)
            self.start_process("relay", "-m", "standins.relay", "--port", port)
            self.wait_for_http(f"http://127.0.0.1:{self.relay_port}/routes")
        self.publish_configuration(make_configuration(1))
        self.start_process(
            "workers",
            "-m",
            "standins.platform_worker",
            *("--port", str(self.worker_port), "--store", self.store_url),
            *("--count", str(self.config.worker_count)),
            *("--rack", str(self.config.rack_size)),
            *("--spare", str(self.config.spare_worker_count)),
            *("--heartbeat-s", str(self.config.heartbeat_s)),
            *("--zones", str(self.config.zone_count)),
            *(["--links"] if self.config.uses_worker_links else []),
            *self.config.worker_options,
        )
        self.wait_for_http(
            f"http://127.0.3.1:{self.worker_port}/standin/history"
        )
        for name in self.instance_names:
            self.start_instance(name)
        for name in self.instance_names:
            self.wait_until_ready(name)

    def publish_configuration(self, configuration: dict[str, Any]) -> None:
        """Publishes a configuration to all instances through the store."""
        self.http_client.post(
            f"{self.store_url}/standin/put?topic=keyed.op&key=config",
            content=json.dumps(configuration),
        ).raise_for_status()

    def set_zone_evacuated(self, zone: str, *, is_evacuated: bool) -> None:
        """Requests the evacuation of a zone or withdraws the request."""
        self.http_client.post(
            f"{self.store_url}/standin/put?topic=keyed.op&key=evacuate/{zone}",
            content=b"{}" if is_evacuated else b"",
        ).raise_for_status()

    def request_upkeep_wave(
        self, number: int, machines: list[str], *, duration_s: float, cap: int
    ) -> None:
        """Requests an upkeep wave, as operators do."""
        wave = {
            "wave": number,
            "machines": machines,
            "duration_s": duration_s,
            "cap": cap,
        }
        self.http_client.post(
            f"{self.store_url}/standin/put?topic=keyed.op&key=wave/{number}",
            content=json.dumps(wave),
        ).raise_for_status()

    def read_wave_state(self, number: int) -> str:
        """Returns the published state of an upkeep wave; empty if none."""
        response = self.http_client.get(
            f"{self.store_url}/lagoonbeam/log-newest?topic=keyed.status&part=0"
        )
        for item in response.json()["items"]:
            if item["key"] == f"wave/{number}":
                state: str = json.loads(base64.b64decode(item["value"]))[
                    "state"
                ]
                return state
        return ""

    def read_machine_orders(self) -> list[dict[str, Any]]:
        """Returns the upkeep and move orders that the machines received."""
        url = f"http://127.0.3.1:{self.worker_port}/standin/duties"
        orders: list[dict[str, Any]] = self.http_client.get(url).json()
        return orders

    def start_instance(self, name: str) -> None:
        """Writes the settings of an instance and starts it."""
        settings = self.folder / f"{name}.yaml"
        settings.write_text(json.dumps(self._make_settings(name)))
        self.start_process(
            name,
            str(PROJECT_ROOT / "platform" / "start.py"),
            LAGOONBEAM_BOOT=str(settings),
            LAGOONBEAM_METRICS_PORT=str(self.metrics_port),
        )

    def wait_until_ready(self, name: str) -> None:
        """Waits until an instance accepts requests."""
        self.wait_for_http(
            f"http://{self.get_host(name)}:{self.ready_port}/ready"
        )

    def get_host(self, name: str) -> str:
        """Returns the loopback address of an instance."""
        return f"127.0.4.{int(name[1:]) + 1}"

    def kill_process(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self.processes[name].kill()
        self.processes[name].wait()

    def call_front(
        self,
        method: str,
        path: str,
        *,
        instance: str = "n0",
        body: Any = None,
        api_key: str = API_KEY,
    ) -> httpx.Response:
        """Sends a request to the platform front of an instance."""
        return self.http_client.request(
            method,
            f"http://{self.get_host(instance)}:{self.front_port}{path}",
            headers={"Host": ROUTE_HOST, "Api-Key": api_key},
            content=json.dumps(body) if body is not None else None,
        )

    def get_job_api_url(self, instance: str = "n0") -> str:
        """Returns the base URL of an instance's job API."""
        return f"http://{self.get_host(instance)}:{self.metrics_port}"

    def call_job_api(
        self,
        method: str,
        path: str,
        *,
        instance: str = "n0",
        api_key: str = API_KEY,
        body: Any = None,
        timeout_s: float = 30.0,
    ) -> httpx.Response:
        """Sends a request to the job API of an instance."""
        return self.http_client.request(
            method,
            f"{self.get_job_api_url(instance)}{path}",
            headers={"authorization": f"Bearer {api_key}"},
            json=body,
            timeout=timeout_s,
        )

    def submit_job(
        self,
        steps: list[dict[str, Any]],
        *,
        spec: dict[str, Any] | None = None,
        priority: int = 1,
        path_prefix: str = "",
        instance: str = "n0",
        **fields: Any,
    ) -> str:
        """Submits a job through the platform front; returns its path."""
        path = (path_prefix or PATH_PREFIXES[priority]) + secrets.token_hex(8)
        text = json.dumps({"run_s": 0.2, "gpu": 1, **(spec or {})})
        body = {"spec": text, "steps": steps, **fields}
        response = self.call_front("POST", path, instance=instance, body=body)
        assert response.status_code == 200, response.text
        return path

    def wait_for_state(
        self,
        path: str,
        states: tuple[str, ...] = ("completed",),
        *,
        instance: str = "n0",
        timeout_s: float = 20.0,
    ) -> str:
        """Waits until a job is in one of the given states and returns it."""
        deadline_s = time.monotonic() + timeout_s
        state = ""
        while time.monotonic() < deadline_s:
            response = self.call_front("GET", path, instance=instance)
            if response.status_code == 200:
                state = response.json()["state"]
                if state in states:
                    return state
            time.sleep(0.05)
        raise TimeoutError(f"{path}: got {state!r}, expected one of {states}")

    def set_store_faults(self, **faults: Any) -> None:
        """Sets the injected faults of the store."""
        self.http_client.post(f"{self.store_url}/standin/faults", json=faults)

    def control_worker(self, number: int, command: str, **fields: Any) -> Any:
        """Sends a command such as ``crash`` to the stand-in of one worker."""
        url = (
            f"http://127.0.3.{number + 1}:{self.worker_port}/standin/{command}"
        )
        return self.http_client.post(url, json=fields).json()

    def cut_off_from_store(
        self, names: list[str], *, freeze: bool = False
    ) -> None:
        """Cuts exactly these instances off from the store.

        Args:
            names: Instances to cut off; an empty list restores all routes.
            freeze: Whether open connections hang instead of being closed.
        """
        cuts = [[name, "store"] for name in names]
        self.http_client.post(
            f"http://127.0.0.1:{self.relay_port}/faults",
            json={"cuts": cuts, "freeze": freeze},
        ).raise_for_status()

    def read_worker_history(self) -> list[dict[str, Any]]:
        """Returns the recorded events of all workers."""
        url = f"http://127.0.3.1:{self.worker_port}/standin/history"
        history: list[dict[str, Any]] = self.http_client.get(url).json()
        return history

    def read_decision_log(self, name: str) -> list[dict[str, Any]]:
        """Returns the decision log of an instance."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def find_active_instance(self) -> str:
        """Returns the instance that claimed the newest term."""
        return self.find_newest_term()[1]

    def find_newest_term(self) -> tuple[int, str]:
        """Returns the newest term and the instance that claimed it.

        Instances are ready before the first term is claimed.
        """
        deadline_s = time.monotonic() + FIRST_TERM_TIMEOUT_S
        while not (terms := self._list_terms()):
            assert time.monotonic() < deadline_s, "no term was claimed"
            time.sleep(0.05)
        return max(terms)

    def _list_terms(self) -> list[tuple[int, str]]:
        return [
            (line["term"], name)
            for name in self.instance_names
            for line in self.read_decision_log(name)
            if line.get("event") == "term.claimed"
        ]

    def _make_settings(self, name: str) -> dict[str, Any]:
        host = self.get_host(name)
        store = f"127.0.0.1:{self._get_store_port(name)}"
        return {
            "node_name": name,
            "ip": host,
            "zone": self._get_zone(name),
            "listen_addrs": {
                "front": f"{host}:{self.front_port}",
                "ready": f"{host}:{self.ready_port}",
            },
            "advice": f"127.0.3.1:{self.worker_port}",
            "cloud": {"address": f"127.0.3.1:{self.worker_port}"},
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": [
                f"{self.get_host(seed)}:{self.peer_port}"
                for seed in self.instance_names[:3]
            ],
            "platform": {"address": store, "keep_s": 20},
            "bounds": {"max_hold_ms": LEASE_MS, "grace_s": 6},
        }

    def _get_zone(self, name: str) -> str:
        zone_count = self.config.zone_count
        number = int(name[1:]) + 1 if zone_count > 1 else 1
        return f"z{number % max(2, zone_count)}"

    def _get_store_port(self, name: str) -> int:
        if not self.config.uses_relays:
            return self.store_port
        response = self.http_client.post(
            f"http://127.0.0.1:{self.relay_port}/routes",
            json={"source": name, "target": "store", "port": self.store_port},
        )
        port: int = response.json()["port"]
        return port
