"""The faults that the soak test injects."""

from __future__ import annotations

import asyncio
import collections
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from harness.cluster import Cluster
from harness.ports import reserve_free_ports
from harness.retrying_client import JobSubmission
from harness.soak_requests import (
    ZONES,
    cancel_job,
    make_rules,
    publish_rules_through,
)

WORKERS_PER_ZONE = 4
LEASE_S = 5.0
SCHEDULER_SETTINGS = {
    "heartbeat_s": 0.3,
    "takeover_s": 1.2,
    "endpoints": {"lease_s": LEASE_S, "sync_wait_s": 1.5},
}
FAULT_POINTS = [
    "launch.after_intent",
    "launch.after_reserve",
    "launch.after_start",
    "finish.before_append",
    "finish.after_append",
]


@dataclass
class SoakRun:
    """State of one soak run.

    Attributes:
        rng: Source of all random choices.
        fault_counts: How often each kind of fault was injected.
        submissions: All submitted jobs.
        rules_accepted_at_s: Acceptance time by rules version.
        seen_versions: Observed rules: instance, version in force and time.
        leaving_times: Workers listed as leaving: name, from when, until when.
        list_faults: Faults of the instance list at present.
        list_lags_s: How far the instance list lags, with the time of each
            change; infinitely while it is down.
        cut_routes: Routes that are cut at present.
        replacement_count: Number of instances started as replacements.
        replaced_instances: Instances that are, or have been, replaced.
        removal_locks: Held while an instance is restarted, or drained and
            removed; by name.
    """

    cluster: Cluster
    rng: random.Random
    fault_counts: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    submissions: list[JobSubmission] = field(default_factory=list)
    rules_accepted_at_s: dict[int, float] = field(default_factory=dict)
    seen_versions: list[tuple[str, int, float]] = field(default_factory=list)
    leaving_times: list[tuple[str, float, float]] = field(default_factory=list)
    list_faults: dict[str, Any] = field(default_factory=dict)
    list_lags_s: list[tuple[float, float]] = field(default_factory=list)
    cut_routes: set[tuple[str, str]] = field(default_factory=set)
    replacement_count: int = 0
    replaced_instances: set[str] = field(default_factory=set)
    removal_locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: collections.defaultdict(asyncio.Lock)
    )
    drain_exit_codes: list[int] = field(default_factory=list)


FaultFunction = Callable[[SoakRun], Awaitable[None]]
FAULTS: dict[str, FaultFunction] = {}


def register_fault(fault_function: FaultFunction) -> FaultFunction:
    """Registers a fault under the name of its function."""
    FAULTS[fault_function.__name__] = fault_function
    return fault_function


async def in_thread(call: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Runs a blocking call in a thread."""
    return await asyncio.to_thread(lambda: call(*args, **kwargs))


def choose_instance(run: SoakRun) -> str:
    """Returns an instance whose scheduler is running."""
    running_instances = [
        name
        for name in list(run.cluster.instances)
        if run.cluster.is_running(f"{name}-scheduler")
    ]
    return run.rng.choice(running_instances)


async def restart_unless_removed(
    run: SoakRun, name: str, **scheduler_overrides: Any
) -> None:
    """Restarts a killed instance, unless it was replaced meanwhile."""
    async with run.removal_locks[name]:
        if name in run.cluster.instances:
            await in_thread(
                run.cluster.start_instance, name, **scheduler_overrides
            )


async def apply_cuts(run: SoakRun) -> None:
    """Sends the present cuts to the relay."""
    cuts = [list(pair) for pair in run.cut_routes]
    await in_thread(run.cluster.set_faults, run.cluster.relay_url, cuts=cuts)


async def cut_temporarily(
    run: SoakRun, cuts: set[tuple[str, str]], duration_s: float
) -> None:
    """Cuts routes for a time."""
    run.cut_routes |= cuts
    await apply_cuts(run)
    await asyncio.sleep(duration_s)
    run.cut_routes -= cuts
    await apply_cuts(run)


@register_fault
async def log_outage(run: SoakRun) -> None:
    """The log is down."""
    url = run.cluster.log_url
    await in_thread(run.cluster.set_faults, url, down=True)
    await asyncio.sleep(run.rng.uniform(2, 8))
    await in_thread(run.cluster.set_faults, url, down=False)


@register_fault
async def log_silent(run: SoakRun) -> None:
    """The log accepts requests and does not answer."""
    url = run.cluster.log_url
    await in_thread(run.cluster.set_faults, url, silent=True)
    await asyncio.sleep(run.rng.uniform(2, 5))
    await in_thread(run.cluster.set_faults, url, silent=False)


@register_fault
async def log_slow(run: SoakRun) -> None:
    """The log answers with a delay."""
    url = run.cluster.log_url
    await in_thread(run.cluster.set_faults, url, delay_s=0.5)
    await asyncio.sleep(run.rng.uniform(3, 8))
    await in_thread(run.cluster.set_faults, url, delay_s=0.0)


@register_fault
async def log_lost_answers(run: SoakRun) -> None:
    """Appends take effect, but some of the responses are lost."""
    url = run.cluster.log_url
    await in_thread(run.cluster.set_faults, url, lose_answers=0.5)
    await asyncio.sleep(run.rng.uniform(3, 8))
    await in_thread(run.cluster.set_faults, url, lose_answers=0.0)


@register_fault
async def instance_killed(run: SoakRun) -> None:
    """An instance is killed and restarted later."""
    name = choose_instance(run)
    await in_thread(run.cluster.kill_instance, name)
    await asyncio.sleep(run.rng.uniform(0.5, 4))
    await restart_unless_removed(run, name)


@register_fault
async def scheduler_frozen(run: SoakRun) -> None:
    """A scheduler is paused by ``SIGSTOP`` and resumed later."""
    name = f"{choose_instance(run)}-scheduler"
    run.cluster.kill_process(name, signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(1, 9))
    run.cluster.kill_process(name, signal.SIGCONT)


@register_fault
async def killed_at_step(run: SoakRun) -> None:
    """The active scheduler of a zone exits at a fault point."""
    active = await in_thread(run.cluster.list_active_instances)
    if not active:
        return
    name = run.rng.choice(sorted(active.values()))
    point = run.rng.choice(FAULT_POINTS)
    if name not in run.cluster.instances:
        return
    await in_thread(run.cluster.kill_instance, name)
    await restart_unless_removed(run, name, fault_points=[point])
    await asyncio.sleep(6)
    await in_thread(run.cluster.kill_instance, name)
    await restart_unless_removed(run, name)


@register_fault
async def instance_replaced(run: SoakRun) -> None:
    """An instance is drained and replaced by a new one."""
    name = choose_instance(run)
    if name in run.replaced_instances:
        return
    run.replaced_instances.add(name)
    old = run.cluster.instances[name]
    run.replacement_count += 1
    new = f"{old.zone}-r{run.replacement_count}"
    ports = reserve_free_ports(2)
    await in_thread(run.cluster.add_instance, new, old.zone, *ports)
    await asyncio.sleep(3)
    async with run.removal_locks[name]:
        if run.cluster.is_running(f"{name}-scheduler"):
            run.cluster.mark_instance_leaving(name)
            codes = await in_thread(run.cluster.drain_instance, name)
            run.drain_exit_codes += codes
        await in_thread(run.cluster.remove_instance, name)


@register_fault
async def zone_cut_from_log(run: SoakRun) -> None:
    """A zone's instances cannot reach the log."""
    zone = run.rng.choice(ZONES)
    names = run.cluster.list_zone_instances(zone)
    cuts = {(name, "log") for name in names}
    await cut_temporarily(run, cuts, run.rng.uniform(3, 9))


@register_fault
async def zone_cut_off(run: SoakRun) -> None:
    """A zone's instances reach neither the log nor other zones."""
    zone = run.rng.choice(ZONES)
    names = run.cluster.list_zone_instances(zone)
    others = set(run.cluster.instances) - set(names)
    cuts = {(name, "log") for name in names}
    cuts |= {(name, other) for name in names for other in others}
    cuts |= {(other, name) for name in names for other in others}
    await cut_temporarily(run, cuts, run.rng.uniform(3, 9))


@register_fault
async def instance_cut_off(run: SoakRun) -> None:
    """An instance reaches nothing, and no instance reaches its scheduler."""
    name = choose_instance(run)
    cuts = {(name, "*")}
    cuts |= {(other, name) for other in run.cluster.instances}
    await cut_temporarily(run, cuts, run.rng.uniform(2, 8))


@register_fault
async def links_silent(run: SoakRun) -> None:
    """All open connections of an instance hang; new ones work."""
    name = choose_instance(run)
    await in_thread(
        run.cluster.set_faults,
        run.cluster.relay_url,
        cuts=[[name, "*"]],
        freeze=True,
    )


def choose_worker(run: SoakRun) -> str:
    """Returns a worker of any zone."""
    return run.rng.choice(sorted(run.cluster.worker_urls))


async def run_worker_fault(
    run: SoakRun,
    duration_s: float,
    cleared: dict[str, Any],
    **active: Any,
) -> None:
    """Injects a fault into a random worker for a time."""
    worker = choose_worker(run)
    await in_thread(run.cluster.set_worker_faults, worker, **active)
    await asyncio.sleep(duration_s)
    await in_thread(run.cluster.set_worker_faults, worker, **cleared)


@register_fault
async def worker_crashed(run: SoakRun) -> None:
    """A worker crashes, loses its tasks and stays down for a time."""
    down_s = run.rng.uniform(1, 8)
    worker = choose_worker(run)
    await in_thread(run.cluster.set_worker_faults, worker, down_s=down_s)


@register_fault
async def worker_paused(run: SoakRun) -> None:
    """A worker and its tasks are paused."""
    pause_s = run.rng.uniform(1, 8)
    worker = choose_worker(run)
    await in_thread(run.cluster.set_worker_faults, worker, pause_s=pause_s)


@register_fault
async def worker_silent(run: SoakRun) -> None:
    """A worker runs its tasks and answers no request."""
    duration_s = run.rng.uniform(1, 8)
    await run_worker_fault(run, duration_s, {"silent": False}, silent=True)


@register_fault
async def worker_loses_answers(run: SoakRun) -> None:
    """A worker executes commands, but its responses are lost."""
    duration_s = run.rng.uniform(1, 5)
    await run_worker_fault(
        run, duration_s, {"lose_answers": False}, lose_answers=True
    )


@register_fault
async def worker_reports_late(run: SoakRun) -> None:
    """A worker's reports arrive late."""
    duration_s = run.rng.uniform(3, 8)
    await run_worker_fault(run, duration_s, {"late_s": 0.0}, late_s=1.0)


@register_fault
async def worker_fails_all(run: SoakRun) -> None:
    """A worker fails every task that it starts."""
    duration_s = run.rng.uniform(3, 8)
    await run_worker_fault(run, duration_s, {"fail_all": False}, fail_all=True)


@register_fault
async def worker_leaving(run: SoakRun) -> None:
    """A worker is listed as leaving, then as live again."""
    worker = choose_worker(run)
    since_s = time.time()
    await in_thread(run.cluster.set_list_entry, name=worker, state="leaving")
    await asyncio.sleep(run.rng.uniform(4, 9))
    run.leaving_times.append((worker, since_s, time.time()))
    await in_thread(run.cluster.set_list_entry, name=worker, state="live")


async def set_list_fault(run: SoakRun, **fault: Any) -> None:
    """Sets a fault of the instance list, and records how far it lags then."""
    await in_thread(
        run.cluster.set_faults, run.cluster.instance_list_url, **fault
    )
    run.list_faults |= fault
    is_down = run.list_faults.get("down", False)
    lag_s = float("inf") if is_down else run.list_faults.get("lag_s", 0.0)
    run.list_lags_s.append((time.time(), lag_s))


@register_fault
async def list_lags(run: SoakRun) -> None:
    """The instance list lags 10 s behind."""
    await set_list_fault(run, lag_s=10.0)
    await asyncio.sleep(run.rng.uniform(3, 9))
    await set_list_fault(run, lag_s=0.0)


@register_fault
async def list_down(run: SoakRun) -> None:
    """The instance list is down."""
    await set_list_fault(run, down=True)
    await asyncio.sleep(run.rng.uniform(3, 9))
    await set_list_fault(run, down=False)


@register_fault
async def operators_race(run: SoakRun) -> None:
    """Two operators publish rules based on the same version."""
    names = run.rng.sample(sorted(run.cluster.instances), 2)
    based_on = max(run.rules_accepted_at_s, default=0)
    documents = [make_rules(based_on, run.rng.uniform(0.5, 2.0)) for _ in names]
    published_versions = await asyncio.gather(
        *(
            in_thread(publish_rules_through, run.cluster, name, body)
            for name, body in zip(names, documents, strict=True)
        )
    )
    for version in filter(None, published_versions):
        run.rules_accepted_at_s.setdefault(version, time.time())


@register_fault
async def cancellation_wave(run: SoakRun) -> None:
    """Callers cancel many jobs at once."""
    open_submissions = [r for r in run.submissions if not r.outcome]
    for submission in open_submissions[:15]:
        url = run.rng.choice(run.cluster.list_entry_urls())
        await in_thread(cancel_job, run.cluster, url, submission)
