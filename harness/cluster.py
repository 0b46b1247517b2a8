"""Runs a multi-zone system on loopback: stand-ins, entries and schedulers."""

from __future__ import annotations

import contextlib
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import yaml

from harness.ports import reserve_free_ports
from harness.process_group import START_TIMEOUT_S, ProcessGroup

OPERATOR_TOKEN = "operator-token"


@dataclass
class ClusterConfig:
    """Size and settings of a cluster.

    Attributes:
        zones: Names of the availability zones.
        instances_per_zone: Instances in each zone.
        workers_per_zone: Workers in each zone.
        workers_per_process: Workers that one stand-in process simulates.
        rack_size: Workers in a rack.
        organisations: Organisations that have a caller token.
        scheduler_settings: Settings that replace the schedulers' defaults.
        uses_relays: Whether connections go through a relay that can cut them.
    """

    zones: list[str]
    instances_per_zone: int = 2
    workers_per_zone: int = 4
    workers_per_process: int = 4
    rack_size: int = 6
    organisations: list[str] = field(default_factory=lambda: ["armor"])
    scheduler_settings: dict[str, Any] = field(default_factory=dict)
    uses_relays: bool = False


@dataclass
class Instance:
    """One instance: the ports of its entry and its scheduler."""

    name: str
    zone: str
    entry_port: int
    scheduler_port: int

    @property
    def url(self) -> str:
        """Base URL of the entry."""
        return f"http://127.0.0.1:{self.entry_port}"


class Cluster(ProcessGroup):
    """Runs the processes of a multi-zone system.

    Args:
        config: Size and settings.
        folder: Directory for the settings and logs of the run.
    """

    def __init__(self, config: ClusterConfig, folder: Path):
        super().__init__(folder, timeout_s=10.0)
        self.config = config
        self.instances: dict[str, Instance] = {}
        self.worker_urls: dict[str, str] = {}
        self.instances_marked_leaving: set[str] = set()
        self.worker_host_urls: list[str] = []
        self.log_port, self.instance_list_port, self.relay_port = (
            reserve_free_ports(3)
        )
        self.instance_list_url = f"http://127.0.0.1:{self.instance_list_port}"
        self.log_url = f"http://127.0.0.1:{self.log_port}"
        self.relay_url = f"http://127.0.0.1:{self.relay_port}"

    def start(self) -> None:
        """Starts all processes and waits for an active scheduler per zone."""
        self.start_process(
            "log", "-m", "standins.log", "--port", str(self.log_port)
        )
        self.start_process(
            "list",
            "-m",
            "standins.instances",
            "--port",
            str(self.instance_list_port),
        )
        if self.config.uses_relays:
            port = str(self.relay_port)
            self.start_process("relay", "-m", "standins.relay", "--port", port)
            self.wait_for_http(f"{self.relay_url}/routes")
        self.wait_for_http(f"{self.instance_list_url}/views/all/instances")
        self.wait_for_http(f"{self.log_url}/counters")
        for zone in self.config.zones:
            self._start_workers(zone)
        for host_url in self.worker_host_urls:
            self.wait_for_http(f"{host_url}/history")
        names = [
            (f"{zone}-{number}", zone)
            for zone in self.config.zones
            for number in range(self.config.instances_per_zone)
        ]
        ports = reserve_free_ports(2 * len(names))
        for index, (name, zone) in enumerate(names):
            self.instances[name] = Instance(
                name, zone, ports[2 * index], ports[2 * index + 1]
            )
        for name in self.instances:
            self._register_instance(name)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait_for_http(f"{self.instances[name].url}/v1/ready")
        self.wait_for_active_schedulers()

    def start_instance(self, name: str, **scheduler_overrides: Any) -> None:
        """Starts or restarts the entry and the scheduler of an instance.

        Args:
            name: The instance.
            **scheduler_overrides: Settings of its scheduler that
                replace the configured ones.
        """
        instance = self.instances[name]
        common = {"instance": name, "availability_zone": instance.zone}
        log_url, instance_list_url, peers = self._make_addresses(name)
        self._write_settings(
            f"{name}-scheduler",
            {
                **common,
                "listen": {"port": instance.scheduler_port},
                "log": {"url": log_url},
                "instances": {"url": instance_list_url, "poll_s": 0.5},
                "peers": peers,
                **self.config.scheduler_settings,
                **scheduler_overrides,
            },
        )
        zone_peers = [
            other
            for other in list(self.instances.values())
            if other.name != name and other.zone == instance.zone
        ]
        callers = [
            {"role": "caller", "organisation": each, "token": f"token-{each}"}
            for each in self.config.organisations
        ]
        operator = {"role": "operator", "token": OPERATOR_TOKEN}
        self._write_settings(
            f"{name}-entry",
            {
                **common,
                "listen": {"port": instance.entry_port},
                "schedulers": [
                    {"port": each.scheduler_port}
                    for each in [instance, *zone_peers]
                ],
                "tokens": [*callers, operator],
            },
        )
        for program in ("scheduler", "entry"):
            settings = str(self.folder / f"{name}-{program}.yaml")
            module = f"lagoonbeam.commands.{program}"
            self.start_process(
                f"{name}-{program}", "-m", module, "--settings", settings
            )

    def add_instance(
        self, name: str, zone: str, entry_port: int, scheduler_port: int
    ) -> None:
        """Starts a new instance and adds it to the instance list."""
        self.instances[name] = Instance(name, zone, entry_port, scheduler_port)
        self._register_instance(name)
        self.start_instance(name)

    def mark_instance_leaving(self, name: str) -> None:
        """Marks an instance as leaving, so that clients use other entries."""
        self.instances_marked_leaving.add(name)
        self.set_list_entry(name=name, state="leaving")

    def list_zone_instances(self, zone: str) -> list[str]:
        """Returns the names of a zone's instances."""
        instances = list(self.instances.values())
        return [each.name for each in instances if each.zone == zone]

    def remove_instance(self, name: str) -> None:
        """Removes an instance that has exited from the instance list."""
        del self.instances[name]
        self.http_client.delete(f"{self.instance_list_url}/instances/{name}")

    def list_entry_urls(self) -> list[str]:
        """Returns the base URLs of all entries that are not leaving."""
        return [
            instance.url
            for instance in list(self.instances.values())
            if instance.name not in self.instances_marked_leaving
        ]

    def kill_process(
        self, process: str, signal_number: int = signal.SIGKILL
    ) -> None:
        """Sends a signal, by default ``SIGKILL``, to one process."""
        self.send_signal(process, signal_number)

    def kill_instance(self, name: str) -> None:
        """Kills the entry and the scheduler of an instance."""
        for program in ("scheduler", "entry"):
            self.kill_process(f"{name}-{program}")
            self.processes[f"{name}-{program}"].wait()

    def drain_instance(self, name: str, timeout_s: float = 60.0) -> list[int]:
        """Drains an instance; returns the exit codes of its two processes.

        A process that has just been started has nothing to drain, and ends by
        the signal; it gets time to start.
        """
        exit_codes = []
        for program in ("entry", "scheduler"):
            process = self.processes[f"{name}-{program}"]
            self.wait_for_handler(f"{name}-{program}", signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            exit_codes.append(process.wait(timeout_s))
        return exit_codes

    def publish_rules(self, document: dict[str, Any]) -> int:
        """Publishes rules through the first instance; returns their version."""
        response = self.call_entry("PUT", "/v1/rules", json=document)
        response.raise_for_status()
        return int(response.json()["version"])

    def call_entry(
        self,
        method: str,
        path: str,
        *,
        instance: str = "",
        token: str = OPERATOR_TOKEN,
        **options: Any,
    ) -> httpx.Response:
        """Sends a request to an entry, with the operator token by default."""
        target_instance = self.instances[instance or next(iter(self.instances))]
        headers = {"authorization": f"Bearer {token}"}
        headers |= options.pop("headers", {})
        return self.http_client.request(
            method, target_instance.url + path, headers=headers, **options
        )

    def set_faults(self, url: str, **faults: Any) -> None:
        """Sets the injected faults of a stand-in."""
        self.http_client.post(f"{url}/faults", json=faults).raise_for_status()

    def set_worker_faults(self, worker: str, **faults: Any) -> None:
        """Sets the injected faults of one worker."""
        self.set_faults(self.worker_urls[worker], **faults)

    def list_active_instances(self) -> dict[str, str]:
        """Returns the active instance by zone, as reported by the instances."""
        active_instances: dict[str, str] = {}
        for name in list(self.instances):
            with contextlib.suppress(httpx.HTTPError):
                reply = self.call_entry("GET", "/v1/instances", instance=name)
                for each in reply.json().get("instances", []):
                    if each["active"]:
                        active_instances[each["availability_zone"]] = each[
                            "instance"
                        ]
        return active_instances

    def wait_for_active_schedulers(
        self, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until every zone has an active scheduler."""
        deadline_s = time.monotonic() + timeout_s
        while set(self.list_active_instances()) != set(self.config.zones):
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"not all zones have an active scheduler:"
                    f" {self.list_active_instances()}"
                )
            time.sleep(0.1)

    def read_worker_history(self) -> list[dict[str, Any]]:
        """Returns the recorded events of all workers, ordered by time."""
        events = [
            event
            for host_url in self.worker_host_urls
            for event in self.http_client.get(f"{host_url}/history").json()
        ]
        return sorted(events, key=lambda event: event["at_s"])

    def _start_workers(self, zone: str) -> None:
        names = [
            f"{zone}-w{index}" for index in range(self.config.workers_per_zone)
        ]
        workers_per_process = self.config.workers_per_process
        for start_index in range(0, len(names), workers_per_process):
            worker_names = names[
                start_index : start_index + workers_per_process
            ]
            (port,) = reserve_free_ports(1)
            host_url = f"http://127.0.0.1:{port}"
            self.worker_host_urls.append(host_url)
            self.start_process(
                f"workers-{worker_names[0]}",
                "-m",
                "standins.worker",
                "--port",
                str(port),
                "--names",
                ",".join(worker_names),
            )
            for index, name in enumerate(worker_names, start_index):
                self.worker_urls[name] = f"{host_url}/{name}"
                self.set_list_entry(
                    name=name,
                    role="worker",
                    availability_zone=zone,
                    url=f"{host_url}/{name}",
                    rack=f"{zone}-r{index // self.config.rack_size}",
                    position=index % self.config.rack_size,
                )

    def set_list_entry(self, **instance_fields: Any) -> None:
        """Adds or updates an entry of the instance list."""
        url = f"{self.instance_list_url}/instances"
        self.http_client.post(url, json=instance_fields).raise_for_status()

    def _register_instance(self, name: str) -> None:
        instance = self.instances[name]
        self.set_list_entry(
            name=name,
            role="scheduler",
            availability_zone=instance.zone,
            port=instance.scheduler_port,
        )

    def _make_addresses(
        self, name: str
    ) -> tuple[str, str, list[dict[str, Any]]]:
        """Returns the log URL, instance list URL and peers of an instance."""
        others = [o for o in list(self.instances.values()) if o.name != name]
        log_port = self.log_port
        ports = {other.name: other.scheduler_port for other in others}
        view = "all"
        if self.config.uses_relays:
            view = name
            log_port = self._add_relay_route(name, "log", self.log_port)
            ports = {
                other: self._add_relay_route(name, other, port)
                for other, port in ports.items()
            }
            view_entries: dict[str, Any] = {
                o: {"port": p} for o, p in ports.items()
            }
            for worker, url in self.worker_urls.items():
                port = int(url.split(":")[2].split("/")[0])
                zone = worker.rsplit("-", 1)[0]
                if zone != self.instances[name].zone:
                    continue
                relayed = self._add_relay_route(name, worker, port)
                view_entries[worker] = {
                    "url": f"http://127.0.0.1:{relayed}/{worker}"
                }
            self.http_client.post(
                f"{self.instance_list_url}/views/{name}", json=view_entries
            )
        peers = [
            {
                "instance": other.name,
                "availability_zone": other.zone,
                "port": ports[other.name],
            }
            for other in others
        ]
        instance_list_url = f"{self.instance_list_url}/views/{view}/instances"
        return f"http://127.0.0.1:{log_port}", instance_list_url, peers

    def _add_relay_route(self, source: str, target: str, port: int) -> int:
        response = self.http_client.post(
            f"{self.relay_url}/routes",
            json={"source": source, "target": target, "port": port},
        )
        return int(response.json()["port"])

    def _write_settings(self, name: str, settings: dict[str, Any]) -> None:
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(settings))
