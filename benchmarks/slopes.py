"""``make slopes``: cost by size of the system, for ``docs/CAPACITY.md``.

Each series varies one size over at least four points and fits a line; the
residual is the largest distance from it, as a share of the largest value.
The last line of the output is one JSON object.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks.fleets import GIB, TARGET_FLEET
from benchmarks.process_stats import (
    read_cpu_s,
    read_private_mb,
    read_relayed_bytes,
)
from harness.cluster import Cluster, ClusterConfig
from lagoonbeam.core.allocator import StartDecision
from lagoonbeam.core.cluster_state import ClusterState
from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.records import (
    JobAccepted,
    JobFinished,
    RecordBatch,
    RulesPublished,
    encode_batch,
)
from lagoonbeam.core.rules import PolicyNames, encode_rules
from lagoonbeam.core.worker_pool import WorkerShape

MEASUREMENT_S = 12.0
"""Period over which processor time and relayed bytes are counted."""
TIMED_EVENTS = 300

Measurements = dict[str, float]


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """Returns the least-squares line and its largest residual."""
    xs, ys = zip(*points, strict=True)
    slope, base = statistics.linear_regression(xs, ys)
    max_residual = max(abs(y - base - slope * x) for x, y in points)
    return {
        "slope": slope,
        "base": base,
        "residual": max_residual / max(map(abs, ys)) if any(ys) else 0.0,
    }


def measure_instance(cluster: Cluster, name: str) -> Measurements:
    """Measures the scheduler and entry processes of an instance.

    Bytes are those on the routes from the instance, by kind of target.
    """
    pids = {
        program: cluster.processes[f"{name}-{program}"].pid
        for program in ("scheduler", "entry")
    }
    cpu_before_s = {program: read_cpu_s(pid) for program, pid in pids.items()}
    bytes_before = read_relayed_bytes(cluster)
    started_s = time.monotonic()
    time.sleep(MEASUREMENT_S)
    elapsed_s = time.monotonic() - started_s
    bytes_after = read_relayed_bytes(cluster)
    point: Measurements = {}
    for program, pid in pids.items():
        cpu_s = read_cpu_s(pid) - cpu_before_s[program]
        point[f"{program}_cpu_percent"] = 100 * cpu_s / elapsed_s
        point[f"{program}_mb"] = read_private_mb(pid)
    for (source, target), count in bytes_after.items():
        if source != name:
            continue
        kind = "log" if target == "log" else "peer"
        kind = "worker" if "-w" in target else kind
        byte_count = count - bytes_before.get((source, target), 0)
        key = f"{kind}_bytes_per_s"
        point[key] = point.get(key, 0.0) + byte_count / elapsed_s
    return point


def measure_scheduler(
    *, workers: int, tasks: int = 0, zones: int = 1, instances: int = 1
) -> Measurements:
    """Measures an active scheduler in a cluster of the given size.

    Args:
        workers: Workers in each zone.
        tasks: Running tasks.
        zones: Number of zones.
        instances: Instances in each zone.
    """
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-slopes-"))
    config = ClusterConfig(
        zones=[f"z{index}" for index in range(zones)],
        instances_per_zone=instances,
        workers_per_zone=workers,
        workers_per_process=50,
        rack_size=16,
        organisations=["org0"],
        scheduler_settings={"log_level": "WARNING"},
        uses_relays=True,
    )
    rules = {
        "based_on": 0,
        "organisations": [{"name": "org0", "kinds": [{"name": "train"}]}],
    }
    with Cluster(config, folder) as cluster:
        cluster.publish_rules(rules)
        gang_sizes = [128] * (tasks // 128) + [tasks % 128] * (tasks % 128 > 0)
        for members in gang_sizes:
            body = {
                "caller": "c",
                "kind": "train",
                "shape": {"members": members},
                "idempotent": True,
                "payload": json.dumps({"run_s": 10_000, "answer": "x"}),
            }
            cluster.call_entry(
                "POST", "/v1/jobs", token="token-org0", json=body
            ).raise_for_status()
        time.sleep(5)
        if tasks:
            worker_statuses = cluster.call_entry("GET", "/v1/fleet").json()[
                "workers"
            ]
            busy_slots = sum(status["busy_slots"] for status in worker_statuses)
            if busy_slots < tasks:
                raise AssertionError(
                    f"{busy_slots} of {tasks} tasks are running"
                )
        return measure_instance(cluster, "z0-0")


def measure_decisions(worker_count: int, queued_count: int) -> Measurements:
    """Measures planning with a full fleet and a queue of waiting jobs."""
    rng = random.Random(1)
    now_s = 0.0
    planner = Planner("z", now=lambda: now_s)
    for index in range(worker_count):
        planner.add_worker(
            WorkerShape(f"w{index}", f"r{index // 16}", memory_bytes=512 * GIB)
        )
    rules = TARGET_FLEET.make_rules(PolicyNames())
    planner.set_rules(rules)
    names = [organisation.name for organisation in rules.organisations]
    running: list[str] = []

    def submit(number: int) -> None:
        members = rng.choice([1, 1, 1, 1, 2, 4, 8])
        planner.submit(
            Job(
                f"j{number}",
                rng.choice(names),
                f"c{rng.randrange(5)}",
                "train",
                shape=GangShape(members, rng.choice([1, 2, 4, 8])),
                declared_run_s=600.0,
            )
        )

    def apply_decisions(decisions: list[Any]) -> int:
        started = 0
        while decisions:
            for decision in decisions:
                job_id = decision.planned.job.job_id
                if isinstance(decision, StartDecision):
                    planner.started(job_id)
                    running.append(job_id)
                    started += 1
                else:
                    running.remove(job_id)
                    planner.requeue(job_id)
            decisions = planner.decide()
        return started

    number = 0
    while len(list(planner.queued_jobs)) < queued_count:
        for _ in range(max(queued_count // 4, 50)):
            submit(number)
            number += 1
        apply_decisions(planner.decide())
    decisions_before = planner.decisions
    started_s = time.perf_counter()
    for _ in range(TIMED_EVENTS):
        now_s += 1.0
        submit(number)
        number += 1
        planner.finished(running.pop(rng.randrange(len(running))))
        apply_decisions(planner.decide())
    elapsed_s = time.perf_counter() - started_s
    decision_count = max(1, planner.decisions - decisions_before)
    return {
        "us_per_event": 1e6 * elapsed_s / TIMED_EVENTS,
        "us_per_decision": 1e6 * elapsed_s / decision_count,
    }


def measure_state(job_count: int) -> Measurements:
    """Measures the replicated state with this number of finished jobs."""
    gc.collect()
    tracemalloc.start()
    state = ClusterState()
    started_s = time.perf_counter()
    entry_bytes = 0
    for number in range(job_count):
        job = Job(
            f"{number:032x}",
            f"org{number % 180}",
            "caller",
            "train",
            idempotency_key=f"{number:016x}",
            fingerprint="f" * 32,
            payload="p" * 64,
            availability_zone="z1",
            accepted_at_s=1.0,
        )
        records = (
            JobAccepted(job=job),
            JobFinished(
                job_id=job.job_id,
                outcome="completed",
                results=("r" * 16,),
                finished_at_s=1.0,
            ),
        )
        batch = RecordBatch("writer", number, records)
        entry_bytes += len(encode_batch(batch))
        state.fold(number, batch)
    fold_s = time.perf_counter() - started_s
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.perf_counter()
    snapshot = state.encode()
    encode_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    ClusterState().load(snapshot)
    load_s = time.perf_counter() - started_s
    return {
        "state_kb": traced_bytes / 1024,
        "fold_ms": 1e3 * fold_s,
        "log_kb": entry_bytes / 1024,
        "snapshot_kb": len(snapshot) / 1024,
        "snapshot_ms": 1e3 * encode_s,
        "load_ms": 1e3 * load_s,
    }


def measure_rules_change(organisations: int) -> Measurements:
    """Measures a change of rules for this number of organisations."""
    rules = TARGET_FLEET.make_rules(PolicyNames())
    document = type(rules)(
        based_on=0,
        organisations=rules.organisations[:organisations],
        fleet=rules.fleet,
    )
    document_text = encode_rules(document).decode()
    state = ClusterState()
    record = RulesPublished(
        publication_id="p", document=document_text, author="a"
    )
    started_s = time.perf_counter()
    state.fold(0, RecordBatch("w", 0, (record,)))
    fold_s = time.perf_counter() - started_s
    planner = Planner("z0", now=time.monotonic)
    for shape in TARGET_FLEET.iterate_worker_shapes("z0"):
        planner.add_worker(shape)
    started_s = time.perf_counter()
    planner.set_rules(state.rules)
    apply_s = time.perf_counter() - started_s
    return {
        "document_kb": len(document_text) / 1024,
        "fold_ms": 1e3 * fold_s,
        "apply_ms": 1e3 * apply_s,
    }


SERIES: dict[str, tuple[list[int], Callable[[int], Measurements]]] = {
    "workers": ([8, 32, 70, 138], lambda n: measure_scheduler(workers=n)),
    "tasks": (
        [0, 128, 256, 512],
        lambda n: measure_scheduler(workers=70, tasks=n),
    ),
    "peers": (
        [1, 3, 5, 7],
        lambda n: measure_scheduler(workers=2, zones=n + 1),
    ),
    "organisations": ([45, 90, 135, 180], measure_rules_change),
    "jobs": ([250, 500, 1_000, 2_000], measure_state),
    "fleet": ([24, 138, 400, 1_100], lambda n: measure_decisions(n, 1_000)),
    "queue": (
        [100, 1_000, 5_000, 20_000],
        lambda n: measure_decisions(138, n),
    ),
}


def main() -> None:
    """Runs the selected series and prints their points and fitted lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--series", default=",".join(SERIES))
    arguments = parser.parse_args()
    results: dict[str, Any] = {}
    for name in arguments.series.split(","):
        sizes, measure = SERIES[name]
        points = {size: measure(size) for size in sizes}
        fits = {
            key: fit_line(
                [(size, point.get(key, 0.0)) for size, point in points.items()]
            )
            for key in points[sizes[-1]]
        }
        results[name] = {"points": points, "fits": fits}
        _print_series(name, points, fits)
    print(json.dumps(results))


def _print_series(
    name: str, points: dict[int, Measurements], fits: dict[str, Any]
) -> None:
    sizes = [str(size) for size in points]
    table = Table(name, *sizes, "slope", "base", "residual", box=None)
    for key, fit in fits.items():
        cells = [f"{point.get(key, 0.0):.4g}" for point in points.values()]
        fitted = [
            f"{fit[field]:.4g}" for field in ("slope", "base", "residual")
        ]
        table.add_row(key, *cells, *fitted)
    Console(width=140).print(table)


if __name__ == "__main__":
    main()
