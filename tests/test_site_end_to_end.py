"""Scheduling and failover of a site of real processes and stand-ins."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from harness.run_history import count_events, find_duplicate_runs
from harness.site import (
    ADVISED_PATH_PREFIX,
    PATH_PREFIXES,
    Site,
    SiteConfig,
    make_step,
)


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    with Site(SiteConfig(uses_relays=True), folder) as started_site:
        yield started_site


@pytest.fixture(autouse=True)
def restore_site(site: Site) -> Iterator[None]:
    yield
    site.set_store_faults(status=0, silent=False, delay_s=0.0, lose_answers=0)
    site.cut_off_from_store([])
    for name in site.instance_names:
        if site.processes[name].poll() is not None:
            site.start_instance(name)
    for name in site.instance_names:
        site.wait_until_ready(name)
    history = site.read_worker_history()
    assert not find_duplicate_runs(history)


def wait_until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.05)


def count_starts(site: Site, path: str) -> int:
    return count_events(site.read_worker_history(), path)["started"]


def test_step_starts_after_its_predecessor_ends(site: Site) -> None:
    path = site.submit_job([make_step(3), make_step(2, after=[0])])
    assert site.wait_for_state(path, instance="n1") == "completed"
    events = [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(path.rsplit("/", 1)[1])
    ]
    first_step_done_at_s = max(
        step_event["at_s"]
        for step_event in events
        if ".0.0." in step_event["task"] and step_event["event"] == "done"
    )
    second_step_started_at_s = [
        step_event["at_s"]
        for step_event in events
        if ".0.1." in step_event["task"] and step_event["event"] == "started"
    ]
    assert len(second_step_started_at_s) == 2
    assert min(second_step_started_at_s) >= first_step_done_at_s


def test_gang_runs_all_members_across_workers(site: Site) -> None:
    path = site.submit_job(
        [make_step(4, gpu=4, gang=True)], spec={"members": 4, "gpu": 4}
    )
    assert site.wait_for_state(path) == "completed"
    assert count_events(site.read_worker_history(), path)["alone"] == 0


def test_repeated_submission_runs_once(site: Site) -> None:
    path = site.submit_job([make_step()])
    body = {"spec": '{"run_s": 0.2}', "steps": [make_step()]}
    for name in site.instance_names:
        assert (
            site.call_front("POST", path, instance=name, body=body).status_code
            == 200
        )
    site.wait_for_state(path)
    assert count_starts(site, path) == 1


def test_cancellation_stops_running_tasks(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 60})
    wait_until(lambda: count_starts(site, path) == 2)
    assert site.call_front("DELETE", path, instance="n2").status_code == 200
    wait_until(
        lambda: count_events(site.read_worker_history(), path)["stopped"] == 2,
        4.0,
    )
    assert site.wait_for_state(path, ("cancelled",)) == "cancelled"


def test_job_fails_after_max_attempts(site: Site) -> None:
    path = site.submit_job([make_step()], spec={"fail": True})
    assert site.wait_for_state(path, ("failed",)) == "failed"
    assert count_starts(site, path) == 2


def test_urgent_job_preempts_lent_capacity(site: Site) -> None:
    path = site.submit_job([make_step(3, gpu=8)], spec={"run_s": 8, "gpu": 8})
    wait_until(lambda: count_starts(site, path) == 3)
    urgent_path = site.submit_job(
        [make_step(2, gpu=8, gang=True)],
        spec={"members": 2, "gpu": 8},
        priority=0,
    )
    site.wait_for_state(urgent_path, timeout_s=3.4)
    assert count_events(site.read_worker_history(), path)["stopped"] == 1
    site.call_front("DELETE", path)


def test_malformed_settings_are_rejected_on_reload(site: Site) -> None:
    settings_path = site.folder / "n2.yaml"
    valid_settings = settings_path.read_text()
    settings_path.write_text("{")
    site.send_signal("n2", signal.SIGHUP)

    def read_outcomes() -> list[str]:
        return [
            line["outcome"]
            for line in site.read_decision_log("n2")
            if line["event"] == "settings.reload"
        ]

    wait_until(lambda: len(read_outcomes()) == 1)
    settings_path.write_text(valid_settings)
    site.send_signal("n2", signal.SIGHUP)
    wait_until(lambda: len(read_outcomes()) == 2)
    assert read_outcomes()[0].startswith("kept: ")
    assert read_outcomes()[1] == "in force"
    site.wait_for_state(site.submit_job([make_step()], instance="n2"))


def test_unknown_job_queue_or_key_is_refused(site: Site) -> None:
    path = PATH_PREFIXES[0] + "0123456789abcdef"
    assert site.call_front("GET", path).status_code == 410
    assert site.call_front("GET", "/nothing/" + "0" * 16).status_code == 404
    assert site.call_front("GET", path, api_key="wrong").status_code == 401
    response = site.call_front("POST", path, body={"spec": 3})
    assert response.status_code == 400


def test_malformed_worker_entry_does_not_affect_other_workers(
    site: Site,
) -> None:
    for malformed_entry in (b"\xff\x00", b'{"service": 3}', b"[]"):
        site.http_client.post(
            f"{site.store_url}/standin/put?topic=keyed.servers&key=bad",
            content=malformed_entry,
        )
    site.wait_for_state(site.submit_job([make_step()]))
    site.http_client.post(
        f"{site.store_url}/standin/put?topic=keyed.servers&key=bad"
    )


def test_runs_are_adopted_after_kill_of_the_active_instance(site: Site) -> None:
    path = site.submit_job([make_step(3)], spec={"run_s": 5})
    wait_until(lambda: count_starts(site, path) == 3)
    active = site.find_active_instance()
    site.kill_process(active)
    survivor = next(name for name in site.instance_names if name != active)
    assert site.wait_for_state(path, instance=survivor) == "completed"
    assert count_starts(site, path) == 3


def test_graceful_stop_hands_over_the_term_at_once(site: Site) -> None:
    active = site.find_active_instance()
    site.send_signal(active, signal.SIGTERM)
    site.processes[active].wait(6)
    wait_until(lambda: site.find_active_instance() != active, 1.5)


def test_superseded_instance_starts_no_runs_after_a_freeze(site: Site) -> None:
    """The former active instance resumes after another has taken over."""
    active = site.find_active_instance()
    path = site.submit_job([make_step(3)], spec={"run_s": 3})
    wait_until(lambda: count_starts(site, path) == 3)
    site.send_signal(active, signal.SIGSTOP)
    wait_until(lambda: site.find_active_instance() != active)
    survivor = next(name for name in site.instance_names if name != active)
    later_path = site.submit_job([make_step(3)], instance=survivor)
    site.send_signal(active, signal.SIGCONT)
    site.wait_for_state(later_path, instance=survivor)
    site.wait_for_state(path, instance=survivor)
    assert count_starts(site, path) == 3


def test_accepted_job_survives_kill_of_all_instances(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 1.0})
    for name in site.instance_names:
        site.kill_process(name)
    for name in site.instance_names:
        site.start_instance(name)
    for name in site.instance_names:
        site.wait_until_ready(name)
    assert site.wait_for_state(path) == "completed"


def test_store_outage_refuses_submissions_and_keeps_runs(site: Site) -> None:
    running_path = site.submit_job([make_step(2)], spec={"run_s": 2.0})
    wait_until(lambda: count_starts(site, running_path) == 2)
    site.set_store_faults(status=503)
    time.sleep(0.3)
    path = PATH_PREFIXES[1] + "feedfeedfeedfeed"
    body = {"spec": '{"run_s": 0.1}', "steps": [make_step()]}
    response = site.call_front("POST", path, body=body)
    assert response.status_code == 503
    assert int(response.headers["Retry-After"]) >= 1
    time.sleep(2.0)
    site.set_store_faults(status=0)
    assert site.wait_for_state(running_path) == "completed"
    wait_until(lambda: site.call_front("GET", path).status_code == 410)
    assert count_starts(site, running_path) == 2
    assert count_starts(site, path) == 0


def test_lost_store_answers_start_no_task_twice(site: Site) -> None:
    """The store leaves 30 % of the appends that it stores unanswered."""
    site.set_store_faults(lose_answers=0.3)
    paths = []
    for job_number in range(6):
        path = PATH_PREFIXES[1] + f"{job_number:016x}"
        body = {"spec": '{"run_s": 0.2}', "steps": [make_step(2)]}
        statuses = []
        while 200 not in statuses and len(statuses) < 8:
            name = site.instance_names[job_number % 3]
            response = site.call_front("POST", path, body=body, instance=name)
            statuses.append(response.status_code)
        assert 200 in statuses
        paths.append(path)
    site.set_store_faults(lose_answers=0)
    for path in paths:
        site.wait_for_state(path)
        assert count_starts(site, path) == 2


def test_instance_without_store_access_serves_through_peers(site: Site) -> None:
    active = site.find_active_instance()
    site.cut_off_from_store([active])
    time.sleep(0.5)
    path = site.submit_job([make_step(2)], instance=active)
    assert site.wait_for_state(path, instance=active) == "completed"


def test_silent_store_connection_is_replaced(site: Site) -> None:
    """Open connections to the store stay open but forward nothing."""
    site.cut_off_from_store(site.instance_names, freeze=True)
    path = site.submit_job([make_step()], instance="n1")
    assert site.wait_for_state(path, instance="n1") == "completed"


def test_runs_restart_elsewhere_after_worker_crash(site: Site) -> None:
    path = site.submit_job([make_step(4)], spec={"run_s": 1.5})
    wait_until(lambda: count_starts(site, path) == 4)
    crashed_worker = int(site.read_worker_history()[-1]["worker"][1:])
    site.control_worker(crashed_worker, "crash")
    assert site.wait_for_state(path) == "completed"


def test_delayed_start_order_runs_no_task_twice(site: Site) -> None:
    """Two workers carry out starts 2.5 s late and do not answer them."""
    for worker_number in range(2):
        site.control_worker(worker_number, "faults", late_s=2.5)
    paths = [site.submit_job([make_step(4)], spec={"run_s": 1.0}) for _ in "ab"]
    time.sleep(4.0)
    for worker_number in range(2):
        site.control_worker(worker_number, "faults", late_s=0.0)
    for path in paths:
        site.wait_for_state(path)
    assert not find_duplicate_runs(site.read_worker_history())


def test_instance_restores_compacted_journal_from_snapshot(site: Site) -> None:
    """The store keeps only the last 5 records of each topic."""
    path = site.submit_job([make_step()])
    site.wait_for_state(path)
    time.sleep(6.0)
    site.set_store_faults(keep_records=5)
    later_path = site.submit_job([make_step()])
    site.wait_for_state(later_path)
    site.kill_process("n2")
    site.start_instance("n2")
    site.wait_until_ready("n2")
    assert site.wait_for_state(path, instance="n2") == "completed"
    site.set_store_faults(keep_records=1_000_000)


def test_runs_restart_elsewhere_after_worker_stops_answering(
    site: Site,
) -> None:
    path = site.submit_job([make_step(4)], spec={"run_s": 6.0})
    wait_until(lambda: count_starts(site, path) == 4)
    lost_worker = int(site.read_worker_history()[-1]["worker"][1:])
    site.control_worker(lost_worker, "faults", silent=True)
    try:
        assert site.wait_for_state(path, timeout_s=25) == "completed"
    finally:
        site.control_worker(lost_worker, "faults", silent=False)
    assert count_events(site.read_worker_history(), path)["lapsed"] > 0


def test_advised_job_runs_on_allowed_workers_only(site: Site) -> None:
    path = site.submit_job(
        [make_step(4)], spec={"advised": True}, path_prefix=ADVISED_PATH_PREFIX
    )
    assert site.wait_for_state(path) == "completed"
    job_id = path.rsplit("/", 1)[1]
    used_workers = {
        event["worker"]
        for event in site.read_worker_history()
        if event["task"].startswith(job_id)
    }
    assert used_workers <= {"w1", "w3"}


def test_long_running_task_is_restarted_until_cancelled(site: Site) -> None:
    path = site.submit_job(
        [make_step(long_running=True)], spec={"run_s": 0.5, "lasting": True}
    )
    wait_until(lambda: count_starts(site, path) >= 3)
    assert site.wait_for_state(path, ("running",)) == "running"
    assert site.call_front("DELETE", path).status_code == 200
    site.wait_for_state(path, ("cancelled",))


def test_runs_that_outlast_the_drain_time_move_at_once(site: Site) -> None:
    """A draining worker has 2.5 s left for runs of 9 s."""
    path = site.submit_job([make_step(2)], spec={"run_s": 9.0})
    wait_until(lambda: count_starts(site, path) == 2)
    leaving_worker = int(site.read_worker_history()[-1]["worker"][1:])
    time.sleep(0.5)
    site.control_worker(leaving_worker, "faults", draining=True)
    draining_since_s = time.time()
    try:
        wait_until(lambda: count_starts(site, path) > 2, 4.0)
        late_starts = [
            event["at_s"]
            for event in site.read_worker_history()
            if event["event"] == "started"
            and event["worker"] == f"w{leaving_worker}"
            and event["at_s"] > draining_since_s
        ]
        assert not late_starts
    finally:
        site.control_worker(leaving_worker, "faults", draining=False)
        site.call_front("DELETE", path)


def test_jobs_complete_despite_worker_that_fails_all_runs(site: Site) -> None:
    site.control_worker(0, "faults", fail_all=True)
    try:
        paths = [site.submit_job([make_step(3)]) for _ in range(6)]
        for path in paths:
            assert site.wait_for_state(path) == "completed"
    finally:
        site.control_worker(0, "faults", fail_all=False)


def test_stalled_runs_restart_elsewhere(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 3.0})
    wait_until(lambda: count_starts(site, path) == 2)
    stuck = int(site.read_worker_history()[-1]["worker"][1:])
    site.control_worker(stuck, "faults", stuck=True)
    try:
        assert site.wait_for_state(path) == "completed"
    finally:
        site.control_worker(stuck, "faults", stuck=False)
