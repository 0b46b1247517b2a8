"""The main job: a whole system of three zones under mixed work and failures.

Prints its progress, a table of outcomes, where the merged time line is, and
one JSON object as the last line. Exits with 1 if a promise was broken.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import yaml
from rich.console import Console
from rich.table import Table

from harness.callers import Callers, Request, finish_refused, make_request
from harness.checker import Verdict, judge_run
from harness.cluster import OPERATOR_TOKEN, Cluster, Plan
from harness.ports import find_ports
from lagoonbeam.core.rules import encode_rules
from lagoonbeam.rules import RulesBuilder

ZONES = ["brest", "lorient", "vannes"]
ORGANISATIONS = ["armor", "kiosks", "vestnes", "netmakers"]
REQUESTS = 160
SPREAD_S = 16.0
SEED = 7
LEASE_S = 5.0
SCHEDULER = {
    "heartbeat_s": 0.3,
    "takeover_s": 1.2,
    "endpoints": {"lease_s": LEASE_S, "sync_wait_s": 1.5},
}


def build_rules() -> dict[str, Any]:
    """Returns the demo's rules."""
    rules = RulesBuilder(based_on=0)
    for zone in ZONES:
        rules.declare_racks(zone, racks=1, workers=4)
    for name in ORGANISATIONS:
        rules.add_organisation(name, weight=2.0 if name == "armor" else 1.0)
        rules.allow_kind(name, "edge", default_urgency="urgent")
        rules.allow_kind(name, "render", default_urgency="batch")
    for zone in ZONES:
        rules.guarantee("armor", zone, slots=8, count=1)
    rules.guarantee("vestnes", "lorient", slots=4, count=1)
    built: dict[str, Any] = json.loads(encode_rules(rules.build()))
    return built


def replace_instance(cluster: Cluster, name: str) -> str:
    """Kills an instance and starts another in its zone; returns its name."""
    old = cluster.instances[name]
    cluster.kill_instance(name)
    cluster.remove_instance(name)
    entry_port, scheduler_port = find_ports(2)
    new = f"{old.zone}-new"
    cluster.add_instance(new, old.zone, entry_port, scheduler_port)
    return new


async def run_load(
    cluster: Cluster, callers: Callers, requests: list[Request]
) -> None:
    """Sends all requests, with the two failures half way."""
    started_s = time.monotonic()

    async def send(request: Request, at_s: float) -> None:
        await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
        await callers.send(request)

    async def fail() -> None:
        await asyncio.sleep(SPREAD_S / 2)
        worker = "lorient-w1"
        await asyncio.to_thread(cluster.set_worker_faults, worker, down_s=6.0)
        print(f"  worker {worker} killed")
        active = (await asyncio.to_thread(cluster.list_active))["brest"]
        new = await asyncio.to_thread(replace_instance, cluster, active)
        print(f"  instance {active} (active) killed, {new} takes its place")

    async def show() -> None:
        while True:
            await asyncio.sleep(2.0)
            done = sum(bool(request.outcome) for request in requests)
            passed_s = time.monotonic() - started_s
            print(f"  {passed_s:5.1f} s: {done} of {len(requests)} answered")

    progress = asyncio.create_task(show())
    rng = random.Random(SEED)
    times = [rng.uniform(0, SPREAD_S) for _ in requests]
    await asyncio.gather(fail(), *map(send, requests, times))
    progress.cancel()
    await callers.close()


def write_timeline(cluster: Cluster, folder: Path) -> Path:
    """Runs the time line program over all entries that live."""
    settings = folder / "timeline.yaml"
    urls = [instance.url for instance in cluster.instances.values()]
    settings.write_text(yaml.safe_dump({"urls": urls, "token": OPERATOR_TOKEN}))
    output = folder / "timeline.txt"
    module = "lagoonbeam.commands.timeline"
    with output.open("w") as file:
        subprocess.run(
            [sys.executable, "-m", module, "--settings", str(settings)],
            stdout=file,
            check=False,
        )
    return output


def print_outcomes(requests: list[Request]) -> None:
    """Prints a table of outcomes by organisation."""
    names = ["completed", "failed", "did_not_run", "unknown", "refused"]
    table = Table("organisation", *names)
    for organisation in ORGANISATIONS:
        counts = collections.Counter(
            request.outcome or "refused"
            for request in requests
            if request.organisation == organisation
        )
        table.add_row(organisation, *(str(counts[name]) for name in names))
    Console().print(table)


def summarise(
    requests: list[Request], verdict: Verdict, seconds: float
) -> dict[str, Any]:
    """Returns the last line's object."""
    outcomes = collections.Counter(request.outcome for request in requests)
    refused = sum(
        not request.outcome and request.ran == "no" for request in requests
    )
    wrong = ("right_answers", "true_denials", "true_completions", "one_answer")
    return {
        "submitted": len(requests),
        "completed": outcomes["completed"],
        "did_not_run": outcomes["did_not_run"] + refused,
        "failed": outcomes["failed"] + outcomes["cancelled"],
        "unknown": outcomes["unknown"],
        "doubled": len(verdict.violations["at_most_once"]),
        "partial_gangs": len(verdict.violations["whole_gangs"]),
        "wrong_answers": sum(len(verdict.violations[name]) for name in wrong),
        "unanswered": len(verdict.violations["every_caller_answered"]),
        "longest_partial_s": round(verdict.longest_partial_s, 2),
        "seconds": round(seconds, 1),
    }


def main() -> int:
    """Runs the demo; returns the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(tempfile.mkdtemp(prefix="lagoonbeam-demo-"))
    plan = Plan(
        zones=ZONES,
        instances=2,
        workers=4,
        per_process=2,
        organisations=ORGANISATIONS,
        scheduler=SCHEDULER,
    )
    rng = random.Random(SEED)
    requests = [make_request(rng, n, ORGANISATIONS) for n in range(REQUESTS)]
    started_s = time.monotonic()
    print(f"Starting 3 zones of 2 instances and 4 workers; logs in {folder}")
    with Cluster(plan, folder) as cluster:
        print(f"  served; rules version {cluster.publish(build_rules())}")
        callers = Callers(cluster.list_urls, deadline_s=30.0)
        asyncio.run(run_load(cluster, callers, requests))
        for request in requests:
            finish_refused(request)
        verdict = judge_run(
            cluster.read_history(),
            requests,
            now_s=time.time(),
            lease_s=LEASE_S,
        )
        timeline = write_timeline(cluster, folder)
    print_outcomes(requests)
    for promise, found in verdict.violations.items():
        for what in found:
            print(f"  BROKEN {promise}: {what}")
    print(f"Merged time line: {timeline}")
    summary = summarise(requests, verdict, time.monotonic() - started_s)
    print(json.dumps(summary))
    broken = ("doubled", "partial_gangs", "wrong_answers", "unanswered")
    return int(any(summary[name] for name in broken))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
