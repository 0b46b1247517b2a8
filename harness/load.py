"""Load test of one instance: request rate, start delay, CPU and memory.

A fixed number of concurrent clients submit single tasks to one instance of a
zone with idle workers, and each waits for the result before the next request.
The last line of the output is a JSON array.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx

from benchmarks.process_stats import (
    read_cpu_s,
    read_private_mb,
    read_relayed_bytes,
)
from harness.cluster import Cluster, ClusterConfig

RULES_DOCUMENT: dict[str, Any] = {
    "based_on": 0,
    "organisations": [{"name": "armor", "kinds": [{"name": "edge"}]}],
}


async def run_clients(
    url: str, client_count: int, duration_s: float
) -> dict[str, float]:
    """Submits jobs until the time is over; returns send times by request."""
    sent_at_s: dict[str, float] = {}
    deadline_s = time.monotonic() + duration_s
    headers = {"authorization": "Bearer token-armor"}
    limits = httpx.Limits(max_connections=client_count)

    async def run_client(client: httpx.AsyncClient, client_index: int) -> None:
        request_number = 0
        while time.monotonic() < deadline_s:
            request_id = f"{client_index}.{request_number}"
            request_number += 1
            payload = json.dumps({"run_s": 0.01, "answer": request_id})
            body = {
                "caller": f"c{client_index}",
                "kind": "edge",
                "idempotent": True,
                "declared_run_s": 0.01,
                "payload": payload,
            }
            sent_at_s[request_id] = time.time()
            reply = await client.post(
                f"{url}/v1/jobs?wait_s=30", json=body, headers=headers
            )
            reply.raise_for_status()

    async with httpx.AsyncClient(
        timeout=40, limits=limits, trust_env=False
    ) as client:
        await asyncio.gather(
            *(run_client(client, index) for index in range(client_count))
        )
    return sent_at_s


def read_start_times(cluster: Cluster) -> dict[str, float]:
    """Returns the start time of each request's task, by request."""
    started_at_s = {}
    for event in cluster.read_worker_history():
        if event["event"] == "started":
            job = json.loads(event["annotation"])["job"]
            started_at_s[json.loads(job["payload"])["answer"]] = event["at_s"]
    return started_at_s


def measure_load(cluster: Cluster, client_count: int, duration_s: float) -> Any:
    """Measures the instance under a number of concurrent clients."""
    name = next(iter(cluster.instances))
    pids = {
        program: cluster.processes[f"{name}-{program}"].pid
        for program in ("entry", "scheduler")
    }
    cpu_s_before = {program: read_cpu_s(pid) for program, pid in pids.items()}
    relayed_bytes_before = sum(read_relayed_bytes(cluster).values())
    started_s = time.monotonic()
    url = cluster.instances[name].url
    sent_at_s = asyncio.run(run_clients(url, client_count, duration_s))
    elapsed_s = time.monotonic() - started_s
    started_at_s = read_start_times(cluster)
    start_delays_s = sorted(
        started_at_s[request_id] - at_s
        for request_id, at_s in sent_at_s.items()
        if request_id in started_at_s
    )
    result: dict[str, float] = {
        "callers": client_count,
        "requests_per_s": len(sent_at_s) / elapsed_s,
        "start_p50_ms": 1e3 * start_delays_s[len(start_delays_s) // 2],
        "start_p99_ms": 1e3 * start_delays_s[int(0.99 * len(start_delays_s))],
        "relayed_bytes_per_request": (
            sum(read_relayed_bytes(cluster).values()) - relayed_bytes_before
        )
        / len(sent_at_s),
    }
    for program, pid in pids.items():
        used_s = read_cpu_s(pid) - cpu_s_before[program]
        result[f"{program}_cpu_percent"] = 100 * used_s / elapsed_s
        result[f"{program}_mb"] = read_private_mb(pid)
    return {key: round(value, 2) for key, value in result.items()}


def main() -> None:
    """Runs the load test at each number of clients."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=8.0)
    parser.add_argument("--callers", default="1,8,32")
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-load-"))
    config = ClusterConfig(
        zones=["z1"],
        instances_per_zone=1,
        workers_per_zone=8,
        uses_relays=True,
        scheduler_settings={"log_level": "WARNING"},
    )
    with Cluster(config, folder) as cluster:
        cluster.publish_rules(RULES_DOCUMENT)
        results = [
            measure_load(cluster, int(client_count), arguments.duration_s)
            for client_count in arguments.callers.split(",")
        ]
    for result in results:
        print(result)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
