"""Scenarios of ``features/promises.feature``."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import threading
import time
from collections.abc import Iterator

import httpx
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from harness.callers import Callers, Request, finish_refused, make_request
from harness.checker import judge_run
from harness.cluster import Cluster, Plan
from harness.ports import find_ports
from tests.conftest import (
    FAST_SCHEDULER_SETTINGS,
    make_job_submission,
    make_rules_document,
)
from tests.promises_story import TOKEN, Story

scenarios("features/promises.feature")

ZONES = ["z1", "z2"]
SETTINGS = {**FAST_SCHEDULER_SETTINGS, "append_timeout_s": 2.0}


@pytest.fixture
def story(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Story]:
    plan = Plan(
        zones=ZONES,
        instances=2,
        workers=2,
        organisations=["armor", "vestnes"],
        scheduler=SETTINGS,
        relayed=True,
    )
    with Cluster(plan, tmp_path_factory.mktemp("promises")) as cluster:
        cluster.publish(make_rules_document(ZONES))
        yield Story(cluster)


@given("a system of two zones behind relays")
def system(story: Story) -> None:
    assert set(story.cluster.list_active()) == set(ZONES)


@given(parsers.parse("a non-idempotent job that runs for {run_s:g} s in z1"))
def running_job(story: Story, run_s: float) -> None:
    """Sends it through z2, so that its entry survives."""
    body = make_job_submission(
        run_s=run_s, idempotent=False, availability_zone="z1", answer="n0"
    )
    request = Request("n0", "armor", {**body, "shape": {"members": 1}})
    urls = [story.cluster.instances["z2-0"].url]

    def send() -> None:
        async def call() -> None:
            callers = Callers(lambda: urls, deadline_s=30)
            await callers.send(request)
            await callers.close()

        asyncio.run(call())

    story.requests.append(request)
    story.caller = threading.Thread(target=send)
    story.caller.start()
    story.wait_for(lambda: story.cluster.read_history(), 10)


@given(parsers.parse("{count:d} jobs have completed"))
def completed_jobs(story: Story, count: int) -> None:
    for _ in range(count):
        answer = story.submit().json()
        assert answer["outcome"] == "completed"
        story.answers.append(answer)


@when("the active instance of z1 is killed")
def kill_active(story: Story) -> None:
    story.cluster.kill_instance(story.cluster.list_active()["z1"])


@when(parsers.parse("the active scheduler of z1 is frozen for {pause_s:g} s"))
def freeze_active(story: Story, pause_s: float) -> None:
    process = f"{story.cluster.list_active()['z1']}-scheduler"
    story.cluster.kill(process, signal.SIGSTOP)
    time.sleep(pause_s)
    story.cluster.kill(process, signal.SIGCONT)


@when("the log is down")
def stop_log(story: Story) -> None:
    """Waits until all instances have noticed."""
    story.cluster.set_faults(story.cluster.log_url, down=True)

    def is_noticed() -> bool:
        reply = story.cluster.call("GET", "/v1/instances")
        return not any(each["log_up"] for each in reply.json()["instances"])

    story.wait_for(is_noticed, 15)


def cut(story: Story, cuts: list[tuple[str, str]]) -> None:
    url = story.cluster.relay_url
    story.cluster.set_faults(url, cuts=[list(pair) for pair in cuts])
    time.sleep(4.0)


@when("z2 is cut off from all but its own")
def cut_zone(story: Story) -> None:
    own = story.cluster.list_zone("z2")
    others = story.cluster.list_zone("z1")
    cuts = [(name, "log") for name in own]
    cuts += [(name, other) for name in own for other in others]
    cuts += [(other, name) for name in own for other in others]
    cut(story, cuts)


@when("z2 is cut off from the log")
def cut_from_log(story: Story) -> None:
    cut(story, [(name, "log") for name in story.cluster.list_zone("z2")])


@when("the cuts are healed")
def heal(story: Story) -> None:
    cut(story, [])
    time.sleep(2.0)


@when("rules are published in z1")
def publish(story: Story) -> None:
    version = story.cluster.call("GET", "/v1/rules").json()["version"]
    document = make_rules_document(ZONES, based_on=version)
    story.version = story.cluster.publish(document)
    story.since_s = time.monotonic()


@when("the log keeps only what follows the newest snapshot")
def forget(story: Story) -> None:
    """Has an instance write a snapshot, then truncates the log."""
    name = story.cluster.list_zone("z1")[0]
    story.cluster.kill_instance(name)
    settings = {
        "url": f"http://127.0.0.1:{story.cluster.log_port}",
        "snapshot_entries": 1,
    }
    story.cluster.start_instance(name, log=settings)
    folder = story.cluster.folder
    story.wait_for(
        lambda: (
            "snapshot.taken" in (folder / f"{name}-scheduler.log").read_text()
        ),
        20,
    )
    story.cluster.set_faults(story.cluster.log_url, keep_entries=4)
    story.cluster.publish(
        make_rules_document(
            ZONES,
            based_on=story.cluster.call("GET", "/v1/rules").json()["version"],
        )
    )
    time.sleep(2)


@when("an instance of z2 is replaced by a new one")
def replace(story: Story) -> None:
    name = story.cluster.list_zone("z2")[0]
    story.cluster.kill_instance(name)
    story.cluster.remove_instance(name)
    story.new = "z2-new"
    story.cluster.add_instance(story.new, "z2", *find_ports(2))


@when("every instance is drained and replaced in turn under load")
def roll(story: Story) -> None:
    cluster = story.cluster
    rng = random.Random(1)
    stop = threading.Event()

    async def load() -> None:
        callers = Callers(cluster.list_urls, deadline_s=40)
        async with asyncio.TaskGroup() as tasks:
            while not stop.is_set():
                number = len(story.requests)
                request = make_request(rng, number, ["armor"])
                story.requests.append(request)
                tasks.create_task(callers.send(request))
                await asyncio.sleep(0.15)
        await callers.close()

    thread = threading.Thread(target=lambda: asyncio.run(load()))
    thread.start()
    try:
        for old in list(cluster.instances):
            zone = cluster.instances[old].zone
            new = f"{old}-next"
            cluster.add_instance(new, zone, *find_ports(2))
            url = f"{cluster.instances[new].url}/v1/ready"
            story.wait_for(lambda url=url: answers(url), 15)
            cluster.hide_instance(old)
            assert cluster.stop_instance(old) == [0, 0]
            cluster.remove_instance(old)
    finally:
        stop.set()
        thread.join()


def answers(url: str) -> bool:
    try:
        return httpx.get(url, trust_env=False).is_success
    except httpx.HTTPError:
        return False


@when("the open connections of the active instance of z1 go silent")
def silence(story: Story) -> None:
    name = story.cluster.list_active()["z1"]
    story.cluster.set_faults(
        story.cluster.relay_url, cuts=[[name, "*"]], freeze=True
    )


@when("an endpoint of z1 is listed as leaving")
def leave(story: Story) -> None:
    story.worker = "z1-w0"
    story.cluster.put_instance(name=story.worker, state="leaving")
    story.since_s = time.time()


@then(parsers.parse("the job is answered completed within {within_s:g} s"))
def answered(story: Story, within_s: float) -> None:
    assert story.caller is not None
    story.caller.join(within_s)
    assert story.requests[0].outcome == "completed"
    assert story.requests[0].results == ["n0/0"]


@then("the job was started once")
def started_once(story: Story) -> None:
    events = story.cluster.read_history()
    assert [e["event"] for e in events].count("started") == 1


@then(parsers.parse("z1 has one active scheduler within {within_s:g} s"))
def one_active(story: Story, within_s: float) -> None:
    story.wait_for(lambda: len(story.list_own_active("z1")) == 1, within_s)


@then("a non-idempotent job is refused as not run")
def refused(story: Story) -> None:
    reply = story.submit(idempotent=False)
    assert reply.json()["code"] == "log_unavailable"
    assert reply.json()["ran"] == "no"
    assert int(reply.headers["retry-after"]) > 0


@then(
    parsers.parse("a non-idempotent job sent to {zone} is refused as not run")
)
def refused_in_zone(story: Story, zone: str) -> None:
    reply = story.submit(idempotent=False, zone=zone)
    assert reply.json()["code"] == "log_unavailable"
    assert reply.json()["ran"] == "no"


@then(parsers.parse("an idempotent job is completed within {within_s:g} s"))
def completed(story: Story, within_s: float) -> None:
    completed_in_zone(story, "z1", within_s)


@then(
    parsers.parse(
        "an idempotent job sent to {zone} is completed within {within_s:g} s"
    )
)
def completed_in_zone(story: Story, zone: str, within_s: float) -> None:
    answer = story.submit(zone=zone).json()
    assert answer.get("outcome") == "completed", answer


@then(
    parsers.parse(
        "a non-idempotent job sent to {zone} is completed within {within_s:g} s"
    )
)
def completed_once(story: Story, zone: str, within_s: float) -> None:
    answer = story.submit(zone=zone, idempotent=False).json()
    assert answer.get("outcome") == "completed", answer


@then(parsers.parse("every instance has the new version within {within_s:g} s"))
def everywhere(story: Story, within_s: float) -> None:
    def is_everywhere() -> bool:
        return all(
            story.cluster.call("GET", "/v1/rules", instance=name).json()[
                "version"
            ]
            == story.version
            for name in story.cluster.instances
        )

    story.wait_for(is_everywhere, within_s)


@then(parsers.parse("the new instance is ready within {within_s:g} s"))
def ready(story: Story, within_s: float) -> None:
    url = f"{story.cluster.instances[story.new].url}/v1/ready"
    story.wait_for(lambda: answers(url), within_s)

    def has_rules() -> bool:
        reply = story.cluster.call("GET", "/v1/rules", instance=story.new)
        return reply.is_success and reply.json()["version"] > 0

    story.wait_for(has_rules, within_s)


@then("a retry of the first job through it is the same job")
def same_job(story: Story) -> None:
    reply = story.cluster.call(
        "POST",
        "/v1/jobs?wait_s=20",
        instance=story.new,
        token=TOKEN,
        json=make_job_submission(),
        headers={"idempotency-key": "k1"},
    )
    assert reply.json()["job_id"] == story.answers[0]["job_id"]


@then("every request was answered and none was cut off")
def none_cut_off(story: Story) -> None:
    for request in story.requests:
        finish_refused(request)
    verdict = judge_run(
        story.cluster.read_history(),
        story.requests,
        now_s=time.time(),
        lease_s=3.0,
    )
    assert not verdict.violations, json.dumps(verdict.violations)
    assert all(request.outcome == "completed" for request in story.requests)
    assert len(story.requests) > 20


@then(parsers.parse("it is given nothing new after {after_s:g} s"))
def nothing_new(story: Story, after_s: float) -> None:
    while time.time() < story.since_s + after_s:
        story.submit()
    for _ in range(5):
        story.submit(availability_zone="z1")
    late = [
        event
        for event in story.cluster.read_history()
        if event["worker"] == story.worker
        and event["event"] == "started"
        and event["at_s"] > story.since_s + after_s
    ]
    assert not late
