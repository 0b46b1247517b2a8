"""Starts a whole system on loopback: stand-ins, entries and schedulers.

The processes are started and ended by the test that owns the cluster.
"""

from __future__ import annotations

import contextlib
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import yaml

from harness.ports import find_ports
from harness.processes import START_TIMEOUT_S, Processes

OPERATOR_TOKEN = "operator-token"


@dataclass
class Plan:
    """What to start.

    Attributes:
        zones: Names of the availability zones.
        instances: Entry instances in each zone.
        workers: Workers in each zone.
        per_process: Workers that one stand-in process plays.
        rack_size: Workers in a rack.
        organisations: Names of the organisations.
        scheduler: Settings that replace the schedulers' defaults.
        relayed: Whether connections go through relays that can be cut.
    """

    zones: list[str]
    instances: int = 2
    workers: int = 4
    per_process: int = 4
    rack_size: int = 6
    organisations: list[str] = field(default_factory=lambda: ["armor"])
    scheduler: dict[str, Any] = field(default_factory=dict)
    relayed: bool = False


@dataclass
class Instance:
    """One entry instance: its two programs' ports."""

    name: str
    zone: str
    entry_port: int
    scheduler_port: int

    @property
    def url(self) -> str:
        """Base URL of its entry."""
        return f"http://127.0.0.1:{self.entry_port}"


class Cluster(Processes):
    """Runs the processes of a plan.

    Args:
        plan: What to start.
        folder: Where settings and logs of the run go.
    """

    def __init__(self, plan: Plan, folder: Path):
        super().__init__(folder, timeout_s=10.0)
        self.plan = plan
        self.instances: dict[str, Instance] = {}
        self.worker_urls: dict[str, str] = {}
        self.hidden: set[str] = set()
        self.worker_hosts: list[str] = []
        self.log_port, self.list_port, self.relay_port = find_ports(3)
        self.list_url = f"http://127.0.0.1:{self.list_port}"
        self.log_url = f"http://127.0.0.1:{self.log_port}"
        self.relay_url = f"http://127.0.0.1:{self.relay_port}"

    def start(self) -> None:
        """Starts everything and waits until every zone is served."""
        self.run("log", "-m", "standins.log", "--port", str(self.log_port))
        self.run(
            "list", "-m", "standins.instances", "--port", str(self.list_port)
        )
        if self.plan.relayed:
            port = str(self.relay_port)
            self.run("relay", "-m", "standins.relay", "--port", port)
            self.wait_http(f"{self.relay_url}/routes")
        self.wait_http(f"{self.list_url}/views/all/instances")
        self.wait_http(f"{self.log_url}/counters")
        for zone in self.plan.zones:
            self._start_workers(zone)
        for host in self.worker_hosts:
            self.wait_http(f"{host}/history")
        names = [
            (f"{zone}-{number}", zone)
            for zone in self.plan.zones
            for number in range(self.plan.instances)
        ]
        ports = find_ports(2 * len(names))
        for index, (name, zone) in enumerate(names):
            self.instances[name] = Instance(
                name, zone, ports[2 * index], ports[2 * index + 1]
            )
        for name in self.instances:
            self._list_instance(name)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait_http(f"{self.instances[name].url}/v1/ready")
        self.wait_served()

    def start_instance(self, name: str, **scheduler: Any) -> None:
        """Starts an instance's two programs (again).

        Args:
            name: The instance.
            **scheduler: Settings of its scheduler that replace the others.
        """
        instance = self.instances[name]
        common = {"instance": name, "availability_zone": instance.zone}
        log_url, list_url, peers = self._connect(name)
        self._write(
            f"{name}-scheduler",
            {
                **common,
                "listen": {"port": instance.scheduler_port},
                "log": {"url": log_url},
                "instances": {"url": list_url, "poll_s": 0.5},
                "peers": peers,
                **self.plan.scheduler,
                **scheduler,
            },
        )
        mates = [
            other
            for other in self.instances.values()
            if other.name != name and other.zone == instance.zone
        ]
        callers = [
            {"role": "caller", "organisation": each, "token": f"token-{each}"}
            for each in self.plan.organisations
        ]
        operator = {"role": "operator", "token": OPERATOR_TOKEN}
        self._write(
            f"{name}-entry",
            {
                **common,
                "listen": {"port": instance.entry_port},
                "schedulers": [
                    {"port": each.scheduler_port} for each in [instance, *mates]
                ],
                "tokens": [*callers, operator],
            },
        )
        for program in ("scheduler", "entry"):
            settings = str(self.folder / f"{name}-{program}.yaml")
            module = f"lagoonbeam.commands.{program}"
            self.run(f"{name}-{program}", "-m", module, "--settings", settings)

    def add_instance(
        self, name: str, zone: str, entry_port: int, scheduler_port: int
    ) -> None:
        """Starts an instance that was not there before, and lists it."""
        self.instances[name] = Instance(name, zone, entry_port, scheduler_port)
        self._list_instance(name)
        self.start_instance(name)

    def hide_instance(self, name: str) -> None:
        """Marks an instance as leaving, so that callers go elsewhere."""
        self.hidden.add(name)
        self.put_instance(name=name, state="leaving")

    def list_zone(self, zone: str) -> list[str]:
        """Returns a zone's instances."""
        found = self.instances.values()
        return [each.name for each in found if each.zone == zone]

    def remove_instance(self, name: str) -> None:
        """Takes an instance that has ended off the list."""
        del self.instances[name]
        self.client.delete(f"{self.list_url}/instances/{name}")

    def list_urls(self) -> list[str]:
        """Returns the entries' base URLs, as the balancer knows them."""
        return [
            instance.url
            for instance in list(self.instances.values())
            if instance.name not in self.hidden
        ]

    def kill(self, process: str, number: int = signal.SIGKILL) -> None:
        """Signals one process, by its id."""
        self.signal(process, number)

    def kill_instance(self, name: str) -> None:
        """Ends both programs of an instance at once."""
        for program in ("scheduler", "entry"):
            self.kill(f"{name}-{program}")
            self.processes[f"{name}-{program}"].wait()

    def stop_instance(self, name: str, timeout_s: float = 60.0) -> list[int]:
        """Drains both programs of an instance; returns their exit codes."""
        codes = []
        for program in ("entry", "scheduler"):
            process = self.processes[f"{name}-{program}"]
            process.send_signal(signal.SIGTERM)
            codes.append(process.wait(timeout_s))
        return codes

    def publish(self, document: dict[str, Any]) -> int:
        """Publishes rules through the first instance that answers."""
        response = self.call("PUT", "/v1/rules", json=document)
        response.raise_for_status()
        return int(response.json()["version"])

    def call(
        self,
        method: str,
        path: str,
        *,
        instance: str = "",
        token: str = OPERATOR_TOKEN,
        **options: Any,
    ) -> httpx.Response:
        """Makes an HTTP call to an entry; operators' by default."""
        chosen = self.instances[instance or next(iter(self.instances))]
        headers = {"authorization": f"Bearer {token}"}
        headers |= options.pop("headers", {})
        return self.client.request(
            method, chosen.url + path, headers=headers, **options
        )

    def set_faults(self, url: str, **faults: Any) -> None:
        """Switches faults of a stand-in on or off."""
        self.client.post(f"{url}/faults", json=faults).raise_for_status()

    def set_worker_faults(self, worker: str, **faults: Any) -> None:
        """Switches faults of a worker on or off."""
        self.set_faults(self.worker_urls[worker], **faults)

    def list_active(self) -> dict[str, str]:
        """Returns the active instance of each zone, as any instance sees."""
        found: dict[str, str] = {}
        for name in list(self.instances):
            with contextlib.suppress(httpx.HTTPError):
                reply = self.call("GET", "/v1/instances", instance=name)
                for each in reply.json().get("instances", []):
                    if each["active"]:
                        found[each["availability_zone"]] = each["instance"]
        return found

    def wait_served(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until every zone has an active scheduler."""
        deadline_s = time.monotonic() + timeout_s
        while set(self.list_active()) != set(self.plan.zones):
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"served: {self.list_active()}")
            time.sleep(0.1)

    def read_history(self) -> list[dict[str, Any]]:
        """Returns what really ran on all workers, in order of time."""
        events = [
            event
            for host in self.worker_hosts
            for event in self.client.get(f"{host}/history").json()
        ]
        return sorted(events, key=lambda event: event["at_s"])

    def _start_workers(self, zone: str) -> None:
        names = [f"{zone}-w{index}" for index in range(self.plan.workers)]
        size = self.plan.per_process
        for first in range(0, len(names), size):
            group = names[first : first + size]
            (port,) = find_ports(1)
            host = f"http://127.0.0.1:{port}"
            self.worker_hosts.append(host)
            self.run(
                f"workers-{group[0]}",
                "-m",
                "standins.worker",
                "--port",
                str(port),
                "--names",
                ",".join(group),
            )
            for index, name in enumerate(group, first):
                self.worker_urls[name] = f"{host}/{name}"
                self.put_instance(
                    name=name,
                    role="worker",
                    availability_zone=zone,
                    url=f"{host}/{name}",
                    rack=f"{zone}-r{index // self.plan.rack_size}",
                    position=index % self.plan.rack_size,
                )

    def put_instance(self, **entry: Any) -> None:
        """Adds or changes an entry of the instance list."""
        url = f"{self.list_url}/instances"
        self.client.post(url, json=entry).raise_for_status()

    def _list_instance(self, name: str) -> None:
        instance = self.instances[name]
        self.put_instance(
            name=name,
            role="scheduler",
            availability_zone=instance.zone,
            port=instance.scheduler_port,
        )

    def _connect(self, name: str) -> tuple[str, str, list[dict[str, Any]]]:
        """Returns where an instance finds the log, the list and its peers."""
        others = [o for o in self.instances.values() if o.name != name]
        log_port = self.log_port
        ports = {other.name: other.scheduler_port for other in others}
        view = "all"
        if self.plan.relayed:
            view = name
            log_port = self._relay(name, "log", self.log_port)
            ports = {
                other: self._relay(name, other, port)
                for other, port in ports.items()
            }
            seen: dict[str, Any] = {o: {"port": p} for o, p in ports.items()}
            for worker, url in self.worker_urls.items():
                port = int(url.split(":")[2].split("/")[0])
                zone = worker.rsplit("-", 1)[0]
                if zone != self.instances[name].zone:
                    continue
                relayed = self._relay(name, worker, port)
                seen[worker] = {"url": f"http://127.0.0.1:{relayed}/{worker}"}
            self.client.post(f"{self.list_url}/views/{name}", json=seen)
        peers = [
            {
                "instance": other.name,
                "availability_zone": other.zone,
                "port": ports[other.name],
            }
            for other in others
        ]
        list_url = f"{self.list_url}/views/{view}/instances"
        return f"http://127.0.0.1:{log_port}", list_url, peers

    def _relay(self, source: str, target: str, port: int) -> int:
        response = self.client.post(
            f"{self.relay_url}/routes",
            json={"source": source, "target": target, "port": port},
        )
        return int(response.json()["port"])

    def _write(self, name: str, settings: dict[str, Any]) -> None:
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(settings))
