"""The faults of the soak: what can go wrong, and how it is brought about."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import httpx

from harness.callers import Request
from harness.cluster import Cluster
from harness.ports import find_ports

ZONES = ["z1", "z2", "z3"]
ORGANISATIONS = ["armor", "kiosks", "vestnes", "netmakers"]
WORKERS = 4
LEASE_S = 5.0
SCHEDULER = {
    "heartbeat_s": 0.3,
    "takeover_s": 1.2,
    "endpoints": {"lease_s": LEASE_S, "sync_wait_s": 1.5},
}
FAULT_STEPS = [
    "launch.after_intent",
    "launch.after_reserve",
    "launch.after_start",
    "finish.before_append",
    "finish.after_append",
]


@dataclass
class Run:
    """One soak run.

    Attributes:
        cluster: The processes.
        rng: Source of all choices.
        faults: How often each kind of fault was brought about.
        requests: What callers wanted.
        versions: Accepted rules: version and when it was accepted.
        seen: Versions in force that were seen: instance, version, when.
        leaving: When workers were listed as leaving, and until when.
        cuts: Routes that are cut now.
        replaced: Instances that took the place of others.
        drain_codes: Exit codes of drained programs.
    """

    cluster: Cluster
    rng: random.Random
    faults: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    requests: list[Request] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    seen: list[tuple[str, int, float]] = field(default_factory=list)
    leaving: list[tuple[str, float, float]] = field(default_factory=list)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    replaced: int = 0
    drain_codes: list[int] = field(default_factory=list)


Fault = Callable[[Run], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(kind: Fault) -> Fault:
    """Registers a kind of fault under its function's name."""
    FAULTS[kind.__name__] = kind
    return kind


async def apart(
    function: Callable[..., Any], *values: Any, **named: Any
) -> Any:
    """Runs a blocking call in a thread."""
    return await asyncio.to_thread(lambda: function(*values, **named))


def choose_instance(run: Run) -> str:
    """Returns an instance that is alive."""
    alive = [
        name
        for name in run.cluster.instances
        if run.cluster.is_running(f"{name}-scheduler")
    ]
    return run.rng.choice(alive)


async def set_cuts(run: Run) -> None:
    """Puts the present cuts in force."""
    cuts = [list(pair) for pair in run.cuts]
    await apart(run.cluster.set_faults, run.cluster.relay_url, cuts=cuts)


async def cut_for(
    run: Run, cuts: set[tuple[str, str]], duration_s: float
) -> None:
    """Cuts routes for a time."""
    run.cuts |= cuts
    await set_cuts(run)
    await asyncio.sleep(duration_s)
    run.cuts -= cuts
    await set_cuts(run)


@fault
async def log_outage(run: Run) -> None:
    """The log is down."""
    url = run.cluster.log_url
    await apart(run.cluster.set_faults, url, down=True)
    await asyncio.sleep(run.rng.uniform(2, 8))
    await apart(run.cluster.set_faults, url, down=False)


@fault
async def log_silent(run: Run) -> None:
    """The log takes requests and does not answer."""
    url = run.cluster.log_url
    await apart(run.cluster.set_faults, url, silent=True)
    await asyncio.sleep(run.rng.uniform(2, 5))
    await apart(run.cluster.set_faults, url, silent=False)


@fault
async def log_slow(run: Run) -> None:
    """The log answers late."""
    url = run.cluster.log_url
    await apart(run.cluster.set_faults, url, delay_s=0.5)
    await asyncio.sleep(run.rng.uniform(3, 8))
    await apart(run.cluster.set_faults, url, delay_s=0.0)


@fault
async def log_lost_answers(run: Run) -> None:
    """Appends take effect and their answers are lost."""
    url = run.cluster.log_url
    await apart(run.cluster.set_faults, url, lose_answers=0.5)
    await asyncio.sleep(run.rng.uniform(3, 8))
    await apart(run.cluster.set_faults, url, lose_answers=0.0)


@fault
async def instance_killed(run: Run) -> None:
    """Both programs of an instance die, and start again later."""
    name = choose_instance(run)
    await apart(run.cluster.kill_instance, name)
    await asyncio.sleep(run.rng.uniform(0.5, 4))
    await apart(run.cluster.start_instance, name)


@fault
async def scheduler_frozen(run: Run) -> None:
    """A scheduler is paused and wakes up."""
    name = f"{choose_instance(run)}-scheduler"
    run.cluster.kill(name, signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(1, 9))
    run.cluster.kill(name, signal.SIGCONT)


@fault
async def killed_at_step(run: Run) -> None:
    """The active scheduler of a zone dies at a named step."""
    active = await apart(run.cluster.list_active)
    if not active:
        return
    name = run.rng.choice(sorted(active.values()))
    step = run.rng.choice(FAULT_STEPS)
    if name not in run.cluster.instances:
        return
    await apart(run.cluster.kill_instance, name)
    await apart(run.cluster.start_instance, name, fault_points=[step])
    await asyncio.sleep(6)
    await apart(run.cluster.kill_instance, name)
    await apart(run.cluster.start_instance, name)


@fault
async def instance_replaced(run: Run) -> None:
    """An instance is drained, and a new one takes its place."""
    name = choose_instance(run)
    old = run.cluster.instances[name]
    run.replaced += 1
    new = f"{old.zone}-r{run.replaced}"
    ports = find_ports(2)
    await apart(run.cluster.add_instance, new, old.zone, *ports)
    await asyncio.sleep(3)
    if run.cluster.is_running(f"{name}-scheduler"):
        run.cluster.hide_instance(name)
        codes = await apart(run.cluster.stop_instance, name)
        run.drain_codes += codes
    await apart(run.cluster.remove_instance, name)


@fault
async def zone_cut_from_log(run: Run) -> None:
    """A zone's instances cannot reach the log."""
    zone = run.rng.choice(ZONES)
    names = run.cluster.list_zone(zone)
    cuts = {(name, "log") for name in names}
    await cut_for(run, cuts, run.rng.uniform(3, 9))


@fault
async def zone_cut_off(run: Run) -> None:
    """A zone's instances reach neither the log nor other zones."""
    zone = run.rng.choice(ZONES)
    names = run.cluster.list_zone(zone)
    others = set(run.cluster.instances) - set(names)
    cuts = {(name, "log") for name in names}
    cuts |= {(name, other) for name in names for other in others}
    cuts |= {(other, name) for name in names for other in others}
    await cut_for(run, cuts, run.rng.uniform(3, 9))


@fault
async def instance_cut_off(run: Run) -> None:
    """One instance reaches nothing, and nothing reaches its scheduler."""
    name = choose_instance(run)
    cuts = {(name, "*")}
    cuts |= {(other, name) for other in run.cluster.instances}
    await cut_for(run, cuts, run.rng.uniform(2, 8))


@fault
async def links_silent(run: Run) -> None:
    """All open connections of an instance go silent; new ones work."""
    name = choose_instance(run)
    await apart(
        run.cluster.set_faults,
        run.cluster.relay_url,
        cuts=[[name, "*"]],
        freeze=True,
    )


def choose_worker(run: Run) -> str:
    """Returns a worker."""
    return run.rng.choice(sorted(run.cluster.worker_urls))


async def worker_fault_for(
    run: Run, duration_s: float, off: dict[str, Any], **on: Any
) -> None:
    """Switches a worker's fault on for a time."""
    worker = choose_worker(run)
    await apart(run.cluster.set_worker_faults, worker, **on)
    await asyncio.sleep(duration_s)
    await apart(run.cluster.set_worker_faults, worker, **off)


@fault
async def worker_crashed(run: Run) -> None:
    """A worker loses its tasks and stays away for a while."""
    down_s = run.rng.uniform(1, 8)
    worker = choose_worker(run)
    await apart(run.cluster.set_worker_faults, worker, down_s=down_s)


@fault
async def worker_paused(run: Run) -> None:
    """A worker is frozen with its tasks."""
    pause_s = run.rng.uniform(1, 8)
    worker = choose_worker(run)
    await apart(run.cluster.set_worker_faults, worker, pause_s=pause_s)


@fault
async def worker_silent(run: Run) -> None:
    """A worker runs its tasks and answers nothing."""
    duration_s = run.rng.uniform(1, 8)
    await worker_fault_for(run, duration_s, {"silent": False}, silent=True)


@fault
async def worker_loses_answers(run: Run) -> None:
    """A worker obeys and its answers are lost."""
    duration_s = run.rng.uniform(1, 5)
    await worker_fault_for(
        run, duration_s, {"lose_answers": False}, lose_answers=True
    )


@fault
async def worker_reports_late(run: Run) -> None:
    """A worker's reports come late."""
    duration_s = run.rng.uniform(3, 8)
    await worker_fault_for(run, duration_s, {"late_s": 0.0}, late_s=1.0)


@fault
async def worker_fails_all(run: Run) -> None:
    """A worker fails everything it starts."""
    duration_s = run.rng.uniform(3, 8)
    await worker_fault_for(run, duration_s, {"fail_all": False}, fail_all=True)


@fault
async def worker_leaving(run: Run) -> None:
    """A worker is listed as leaving, and comes back."""
    worker = choose_worker(run)
    since_s = time.time()
    await apart(run.cluster.put_instance, name=worker, state="leaving")
    await asyncio.sleep(run.rng.uniform(4, 9))
    run.leaving.append((worker, since_s, time.time()))
    await apart(run.cluster.put_instance, name=worker, state="live")


@fault
async def list_lags(run: Run) -> None:
    """The instance list is far behind."""
    url = run.cluster.list_url
    await apart(run.cluster.set_faults, url, lag_s=10.0)
    await asyncio.sleep(run.rng.uniform(3, 9))
    await apart(run.cluster.set_faults, url, lag_s=0.0)


@fault
async def list_down(run: Run) -> None:
    """The instance list is down."""
    url = run.cluster.list_url
    await apart(run.cluster.set_faults, url, down=True)
    await asyncio.sleep(run.rng.uniform(3, 9))
    await apart(run.cluster.set_faults, url, down=False)


@fault
async def operators_race(run: Run) -> None:
    """Two operators publish rules based on the same version."""
    names = run.rng.sample(sorted(run.cluster.instances), 2)
    base = max(run.versions, default=0)
    bodies = [make_rules(base, run.rng.uniform(0.5, 2.0)) for _ in names]
    replies = await asyncio.gather(
        *(
            apart(publish, run.cluster, name, body)
            for name, body in zip(names, bodies, strict=True)
        )
    )
    for version in filter(None, replies):
        run.versions.setdefault(version, time.time())


@fault
async def cancellation_wave(run: Run) -> None:
    """Callers cancel many jobs at once."""
    open_requests = [r for r in run.requests if not r.outcome]
    for request in open_requests[:15]:
        url = run.rng.choice(run.cluster.list_urls())
        await apart(cancel, run.cluster, url, request)


def make_rules(based_on: int, weight: float) -> dict[str, Any]:
    """Returns the soak's rules; only a weight differs."""
    kinds = [{"name": "edge"}, {"name": "render"}]
    return {
        "based_on": based_on,
        "organisations": [
            {
                "name": name,
                "kinds": kinds,
                "weight": weight if name == "kiosks" else 1.0,
                "guarantees": [
                    {"availability_zone": zone, "slots": 8} for zone in ZONES
                ]
                if name == "armor"
                else [],
            }
            for name in ORGANISATIONS
        ],
    }


def publish(cluster: Cluster, name: str, body: dict[str, Any]) -> int | None:
    """Publishes rules; returns the version or None if refused."""
    with contextlib.suppress(httpx.HTTPError, KeyError):
        reply = cluster.call("PUT", "/v1/rules", instance=name, json=body)
        return int(reply.json()["version"]) if reply.is_success else None
    return None


def cancel(cluster: Cluster, url: str, request: Request) -> None:
    """Finds a caller's job by its key and cancels it."""
    headers = {
        "authorization": f"Bearer token-{request.organisation}",
        "idempotency-key": request.nonce,
    }
    with contextlib.suppress(httpx.HTTPError, KeyError):
        reply = cluster.client.post(
            f"{url}/v1/jobs", headers=headers, json=request.body
        )
        job_id = reply.json()["job_id"]
        cluster.client.delete(f"{url}/v1/jobs/{job_id}", headers=headers)
