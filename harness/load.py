"""Load on one entry instance: rate, submit-to-start, processor and memory.

Callers submit single tasks to one instance of one zone with idle workers, a
fixed number at a time, and wait for each answer. The last line is one JSON
object.
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
from harness.cluster import Cluster, Plan

RULES: dict[str, Any] = {
    "based_on": 0,
    "organisations": [{"name": "armor", "kinds": [{"name": "edge"}]}],
}


async def submit_for(
    url: str, callers: int, duration_s: float
) -> dict[str, float]:
    """Submits for a time; returns when each request was sent, by nonce."""
    sent: dict[str, float] = {}
    until_s = time.monotonic() + duration_s
    headers = {"authorization": "Bearer token-armor"}
    limits = httpx.Limits(max_connections=callers)

    async def call(client: httpx.AsyncClient, caller: int) -> None:
        number = 0
        while time.monotonic() < until_s:
            nonce = f"{caller}.{number}"
            number += 1
            payload = json.dumps({"run_s": 0.01, "answer": nonce})
            body = {
                "caller": f"c{caller}",
                "kind": "edge",
                "idempotent": True,
                "declared_run_s": 0.01,
                "payload": payload,
            }
            sent[nonce] = time.time()
            reply = await client.post(
                f"{url}/v1/jobs?wait_s=30", json=body, headers=headers
            )
            reply.raise_for_status()

    async with httpx.AsyncClient(
        timeout=40, limits=limits, trust_env=False
    ) as client:
        await asyncio.gather(*(call(client, n) for n in range(callers)))
    return sent


def read_starts(cluster: Cluster) -> dict[str, float]:
    """Returns when each request's task was started, by nonce."""
    starts = {}
    for event in cluster.read_history():
        if event["event"] == "started":
            job = json.loads(event["annotation"])["job"]
            starts[json.loads(job["payload"])["answer"]] = event["at_s"]
    return starts


def run_load(cluster: Cluster, callers: int, duration_s: float) -> Any:
    """Runs one step of load and measures it."""
    name = next(iter(cluster.instances))
    pids = {
        program: cluster.processes[f"{name}-{program}"].pid
        for program in ("entry", "scheduler")
    }
    cpu = {program: read_cpu_s(pid) for program, pid in pids.items()}
    relayed = sum(read_relayed_bytes(cluster).values())
    started_s = time.monotonic()
    url = cluster.instances[name].url
    sent = asyncio.run(submit_for(url, callers, duration_s))
    passed_s = time.monotonic() - started_s
    starts = read_starts(cluster)
    waits = sorted(
        starts[nonce] - at_s for nonce, at_s in sent.items() if nonce in starts
    )
    result: dict[str, float] = {
        "callers": callers,
        "requests_per_s": len(sent) / passed_s,
        "start_p50_ms": 1e3 * waits[len(waits) // 2],
        "start_p99_ms": 1e3 * waits[int(0.99 * len(waits))],
        "relayed_bytes_per_request": (
            sum(read_relayed_bytes(cluster).values()) - relayed
        )
        / len(sent),
    }
    for program, pid in pids.items():
        used_s = read_cpu_s(pid) - cpu[program]
        result[f"{program}_cpu_percent"] = 100 * used_s / passed_s
        result[f"{program}_mb"] = read_private_mb(pid)
    return {key: round(value, 2) for key, value in result.items()}


def main() -> None:
    """Runs a few steps of load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=8.0)
    parser.add_argument("--callers", default="1,8,32")
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-load-"))
    plan = Plan(
        zones=["z1"],
        instances=1,
        workers=8,
        relayed=True,
        scheduler={"log_level": "WARNING"},
    )
    with Cluster(plan, folder) as cluster:
        cluster.publish(RULES)
        results = [
            run_load(cluster, int(callers), arguments.duration_s)
            for callers in arguments.callers.split(",")
        ]
    for result in results:
        print(result)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
