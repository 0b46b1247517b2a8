"""Processor time, memory and network traffic of running processes."""

from __future__ import annotations

import os
from pathlib import Path

from harness.cluster import Cluster

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Returns the user and system time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_private_mb(pid: int) -> float:
    """Returns the private memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    private_kb = sum(
        int(line.split()[1]) for line in lines if line.startswith("Private_")
    )
    return private_kb / 1024


def read_relayed_bytes(cluster: Cluster) -> dict[tuple[str, str], int]:
    """Returns the bytes relayed on each route, by source and target."""
    routes = cluster.http_client.get(f"{cluster.relay_url}/routes").json()
    return {tuple(route["route"]): route["bytes"] for route in routes}
