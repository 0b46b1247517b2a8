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

from harness.cluster import Cluster, ClusterConfig
from harness.ports import reserve_free_ports
from harness.retrying_client import (
    JobSubmission,
    RetryingClient,
    make_random_submission,
    resolve_refused_submission,
)
from harness.run_checker import check_run
from tests.conftest import (
    FAST_SCHEDULER_SETTINGS,
    make_job_body,
    make_rules_document,
)
from tests.scenario_context import CALLER_TOKEN, ScenarioContext

scenarios("features/promises.feature")

ZONES = ["z1", "z2"]
SCHEDULER_SETTINGS = {**FAST_SCHEDULER_SETTINGS, "append_timeout_s": 2.0}


@pytest.fixture
def context(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ScenarioContext]:
    config = ClusterConfig(
        zones=ZONES,
        instances_per_zone=2,
        workers_per_zone=2,
        organisations=["armor", "vestnes"],
        scheduler_settings=SCHEDULER_SETTINGS,
        uses_relays=True,
    )
    with Cluster(config, tmp_path_factory.mktemp("promises")) as cluster:
        cluster.publish_rules(make_rules_document(ZONES))
        yield ScenarioContext(cluster)


@given("a system of two zones behind relays")
def check_zones_have_active_schedulers(context: ScenarioContext) -> None:
    assert set(context.cluster.list_active_instances()) == set(ZONES)


@given(parsers.parse("a non-idempotent job that runs for {run_s:g} s in z1"))
def start_long_job(context: ScenarioContext, run_s: float) -> None:
    """Submits through z2, because an instance of z1 may be killed later."""
    body = make_job_body(
        run_s=run_s, idempotent=False, availability_zone="z1", answer="n0"
    )
    submission = JobSubmission("n0", "armor", {**body, "shape": {"members": 1}})
    urls = [context.cluster.instances["z2-0"].url]

    def send() -> None:
        async def call() -> None:
            client = RetryingClient(lambda: urls, retry_timeout_s=30)
            await client.submit(submission)
            await client.close()

        asyncio.run(call())

    context.submissions.append(submission)
    context.submitting_thread = threading.Thread(target=send)
    context.submitting_thread.start()
    context.wait_for(lambda: context.cluster.read_worker_history(), 10)


@given(parsers.parse("{count:d} jobs have completed"))
def complete_jobs(context: ScenarioContext, count: int) -> None:
    for _ in range(count):
        job_status = context.submit().json()
        assert job_status["outcome"] == "completed"
        context.job_statuses.append(job_status)


@when("the active instance of z1 is killed")
def kill_active_instance(context: ScenarioContext) -> None:
    context.cluster.kill_instance(context.cluster.list_active_instances()["z1"])


@when(parsers.parse("the active scheduler of z1 is paused for {pause_s:g} s"))
def freeze_active_scheduler(context: ScenarioContext, pause_s: float) -> None:
    process = f"{context.cluster.list_active_instances()['z1']}-scheduler"
    context.cluster.kill_process(process, signal.SIGSTOP)
    time.sleep(pause_s)
    context.cluster.kill_process(process, signal.SIGCONT)


@when("the log is down")
def stop_log(context: ScenarioContext) -> None:
    """Takes the log down and waits until all instances report it as down."""
    context.cluster.set_faults(context.cluster.log_url, down=True)

    def is_log_reported_down() -> bool:
        reply = context.cluster.call_entry("GET", "/v1/instances")
        return not any(each["log_up"] for each in reply.json()["instances"])

    context.wait_for(is_log_reported_down, 15)


def set_cut_routes(
    context: ScenarioContext, cuts: list[tuple[str, str]]
) -> None:
    url = context.cluster.relay_url
    context.cluster.set_faults(url, cuts=[list(pair) for pair in cuts])
    time.sleep(4.0)


@when("z2 is cut off from the log and from other zones")
def isolate_zone(context: ScenarioContext) -> None:
    members = context.cluster.list_zone_instances("z2")
    others = context.cluster.list_zone_instances("z1")
    cuts = [(name, "log") for name in members]
    cuts += [(name, other) for name in members for other in others]
    cuts += [(other, name) for name in members for other in others]
    set_cut_routes(context, cuts)


@when("z2 is cut off from the log")
def cut_zone_off_from_log(context: ScenarioContext) -> None:
    set_cut_routes(
        context,
        [(name, "log") for name in context.cluster.list_zone_instances("z2")],
    )


@when("the routes are restored")
def restore_routes(context: ScenarioContext) -> None:
    set_cut_routes(context, [])
    time.sleep(2.0)


@when("rules are published in z1")
def publish_new_rules(context: ScenarioContext) -> None:
    version = context.cluster.call_entry("GET", "/v1/rules").json()["version"]
    document = make_rules_document(ZONES, based_on=version)
    context.rules_version = context.cluster.publish_rules(document)
    context.changed_at_s = time.monotonic()


@when("the log is truncated up to the newest snapshot")
def truncate_log(context: ScenarioContext) -> None:
    """Makes an instance write a snapshot, then truncates the log."""
    cluster = context.cluster
    name = cluster.list_zone_instances("z1")[0]
    cluster.kill_instance(name)
    settings = {
        "url": f"http://127.0.0.1:{cluster.log_port}",
        "snapshot_entries": 1,
    }
    cluster.start_instance(name, log=settings)
    cluster.wait_for_http(f"{cluster.instances[name].url}/v1/ready")
    log_path = cluster.folder / f"{name}-scheduler.log"
    context.wait_for(lambda: "snapshot.taken" in log_path.read_text(), 20)
    cluster.set_faults(cluster.log_url, keep_entries=4)
    rules = cluster.call_entry("GET", "/v1/rules").json()
    cluster.publish_rules(make_rules_document(ZONES, based_on=rules["version"]))
    time.sleep(2)


@when("an instance of z2 is replaced by a new one")
def replace_instance(context: ScenarioContext) -> None:
    name = context.cluster.list_zone_instances("z2")[0]
    context.cluster.kill_instance(name)
    context.cluster.remove_instance(name)
    context.new_instance = "z2-new"
    context.cluster.add_instance(
        context.new_instance, "z2", *reserve_free_ports(2)
    )


@when("every instance is drained and replaced in turn under load")
def replace_all_instances(context: ScenarioContext) -> None:
    cluster = context.cluster
    rng = random.Random(1)
    stop = threading.Event()

    async def run_workload() -> None:
        client = RetryingClient(cluster.list_entry_urls, retry_timeout_s=40)
        async with asyncio.TaskGroup() as task_group:
            while not stop.is_set():
                number = len(context.submissions)
                submission = make_random_submission(rng, number, ["armor"])
                context.submissions.append(submission)
                task_group.create_task(client.submit(submission))
                await asyncio.sleep(0.15)
        await client.close()

    thread = threading.Thread(target=lambda: asyncio.run(run_workload()))
    thread.start()
    try:
        for old_instance in list(cluster.instances):
            zone = cluster.instances[old_instance].zone
            new_instance = f"{old_instance}-next"
            cluster.add_instance(new_instance, zone, *reserve_free_ports(2))
            url = f"{cluster.instances[new_instance].url}/v1/ready"
            context.wait_for(lambda url=url: is_ready(url), 15)
            cluster.mark_instance_leaving(old_instance)
            assert cluster.drain_instance(old_instance) == [0, 0]
            cluster.remove_instance(old_instance)
    finally:
        stop.set()
        thread.join()


def is_ready(url: str) -> bool:
    try:
        return httpx.get(url, trust_env=False).is_success
    except httpx.HTTPError:
        return False


@when("the open connections of the active instance of z1 hang")
def freeze_connections(context: ScenarioContext) -> None:
    name = context.cluster.list_active_instances()["z1"]
    context.cluster.set_faults(
        context.cluster.relay_url, cuts=[[name, "*"]], freeze=True
    )


@when("an endpoint of z1 is listed as leaving")
def mark_worker_leaving(context: ScenarioContext) -> None:
    context.worker = "z1-w0"
    context.cluster.set_list_entry(name=context.worker, state="leaving")
    context.changed_at_s = time.time()


@then(parsers.parse("the job is answered completed within {within_s:g} s"))
def check_job_completed(context: ScenarioContext, within_s: float) -> None:
    assert context.submitting_thread is not None
    context.submitting_thread.join(within_s)
    assert context.submissions[0].outcome == "completed"
    assert context.submissions[0].results == ["n0/0"]


@then("the job was started once")
def check_single_start(context: ScenarioContext) -> None:
    events = context.cluster.read_worker_history()
    assert [e["event"] for e in events].count("started") == 1


@then(parsers.parse("z1 has one active scheduler within {within_s:g} s"))
def check_single_active_scheduler(
    context: ScenarioContext, within_s: float
) -> None:
    context.wait_for(
        lambda: len(context.list_instances_reporting_active("z1")) == 1,
        within_s,
    )


@then("a non-idempotent job is refused as not run")
def check_submission_refused(context: ScenarioContext) -> None:
    reply = context.submit(idempotent=False)
    assert reply.json()["code"] == "log_unavailable"
    assert reply.json()["ran"] == "no"
    assert int(reply.headers["retry-after"]) > 0


@then(
    parsers.parse("a non-idempotent job sent to {zone} is refused as not run")
)
def check_zone_refuses_submission(context: ScenarioContext, zone: str) -> None:
    reply = context.submit(idempotent=False, zone=zone)
    assert reply.json()["code"] == "log_unavailable"
    assert reply.json()["ran"] == "no"


@then(parsers.parse("an idempotent job is completed within {within_s:g} s"))
def check_idempotent_job_completes(
    context: ScenarioContext, within_s: float
) -> None:
    check_idempotent_job_completes_in_zone(context, "z1", within_s)


@then(
    parsers.parse(
        "an idempotent job sent to {zone} is completed within {within_s:g} s"
    )
)
def check_idempotent_job_completes_in_zone(
    context: ScenarioContext, zone: str, within_s: float
) -> None:
    job_status = context.submit(zone=zone).json()
    assert job_status.get("outcome") == "completed", job_status


@then(
    parsers.parse(
        "a non-idempotent job sent to {zone} is completed within {within_s:g} s"
    )
)
def check_non_idempotent_job_completes_in_zone(
    context: ScenarioContext, zone: str, within_s: float
) -> None:
    job_status = context.submit(zone=zone, idempotent=False).json()
    assert job_status.get("outcome") == "completed", job_status


@then(parsers.parse("every instance has the new version within {within_s:g} s"))
def check_rules_version_on_all_instances(
    context: ScenarioContext, within_s: float
) -> None:
    def is_version_on_all_instances() -> bool:
        return all(
            context.cluster.call_entry(
                "GET", "/v1/rules", instance=name
            ).json()["version"]
            == context.rules_version
            for name in context.cluster.instances
        )

    context.wait_for(is_version_on_all_instances, within_s)


@then(parsers.parse("the new instance is ready within {within_s:g} s"))
def check_new_instance_ready(context: ScenarioContext, within_s: float) -> None:
    url = f"{context.cluster.instances[context.new_instance].url}/v1/ready"
    context.wait_for(lambda: is_ready(url), within_s)

    def has_rules() -> bool:
        reply = context.cluster.call_entry(
            "GET", "/v1/rules", instance=context.new_instance
        )
        return reply.is_success and reply.json()["version"] > 0

    context.wait_for(has_rules, within_s)


@then("a retry of the first job through it returns the same job")
def check_retry_returns_same_job(context: ScenarioContext) -> None:
    reply = context.cluster.call_entry(
        "POST",
        "/v1/jobs?wait_s=20",
        instance=context.new_instance,
        token=CALLER_TOKEN,
        json=make_job_body(),
        headers={"idempotency-key": "k1"},
    )
    assert reply.json()["job_id"] == context.job_statuses[0]["job_id"]


@then("every request is completed")
def check_all_requests_completed(context: ScenarioContext) -> None:
    for submission in context.submissions:
        resolve_refused_submission(submission)
    report = check_run(
        context.cluster.read_worker_history(),
        context.submissions,
        now_s=time.time(),
        lease_s=3.0,
    )
    assert not report.violations, json.dumps(report.violations)
    assert all(
        submission.outcome == "completed" for submission in context.submissions
    )
    assert len(context.submissions) > 20


@then(parsers.parse("no task is started on it after {after_s:g} s"))
def check_leaving_worker_gets_no_tasks(
    context: ScenarioContext, after_s: float
) -> None:
    while time.time() < context.changed_at_s + after_s:
        context.submit()
    for _ in range(5):
        context.submit(availability_zone="z1")
    late_starts = [
        event
        for event in context.cluster.read_worker_history()
        if event["worker"] == context.worker
        and event["event"] == "started"
        and event["at_s"] > context.changed_at_s + after_s
    ]
    assert not late_starts
