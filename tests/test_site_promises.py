"""Promises of the site scheduler over real processes and stand-ins."""

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
    make_configuration,
    make_step,
)


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    with Site(SiteConfig(uses_relays=True), folder) as running:
        yield running


@pytest.fixture(autouse=True)
def healed(site: Site) -> Iterator[None]:
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


def wait_until(check: Callable[[], bool], timeout_s: float = 15.0) -> None:
    ends_s = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < ends_s, "not in time"
        time.sleep(0.05)


def count_started(site: Site, path: str) -> int:
    return count_events(site.read_worker_history(), path)["started"]


def test_steps_run_in_order(site: Site) -> None:
    path = site.submit_job([make_step(3), make_step(2, after=[0])])
    assert site.wait_for_state(path, instance="n1") == "completed"
    events = [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(path.rsplit("/", 1)[1])
    ]
    last_first = max(
        e["at_s"]
        for e in events
        if ".0.0." in e["task"] and e["event"] == "done"
    )
    second = [
        e["at_s"]
        for e in events
        if ".0.1." in e["task"] and e["event"] == "started"
    ]
    assert len(second) == 2
    assert min(second) >= last_first


def test_gang_runs_whole_over_workers(site: Site) -> None:
    path = site.submit_job(
        [make_step(4, gpu=4, gang=True)], spec={"members": 4, "gpu": 4}
    )
    assert site.wait_for_state(path) == "completed"
    assert count_events(site.read_worker_history(), path)["alone"] == 0


def test_repeated_submission_is_one_job(site: Site) -> None:
    path = site.submit_job([make_step()])
    body = {"spec": '{"run_s": 0.2}', "steps": [make_step()]}
    for name in site.instance_names:
        assert (
            site.call_front("POST", path, instance=name, body=body).status_code
            == 200
        )
    site.wait_for_state(path)
    assert count_started(site, path) == 1


def test_cancelled_job_is_stopped(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 60})
    wait_until(lambda: count_started(site, path) == 2)
    assert site.call_front("DELETE", path, instance="n2").status_code == 200
    wait_until(
        lambda: count_events(site.read_worker_history(), path)["stopped"] == 2,
        4.0,
    )
    assert site.wait_for_state(path, ("cancelled",)) == "cancelled"


def test_hopeless_job_fails_after_its_attempts(site: Site) -> None:
    path = site.submit_job([make_step()], spec={"fail": True})
    assert site.wait_for_state(path, ("failed",)) == "failed"
    assert count_started(site, path) == 2


def test_urgent_job_takes_lent_room(site: Site) -> None:
    lent = site.submit_job([make_step(3, gpu=8)], spec={"run_s": 8, "gpu": 8})
    wait_until(lambda: count_started(site, lent) == 3)
    urgent = site.submit_job(
        [make_step(2, gpu=8, gang=True)],
        spec={"members": 2, "gpu": 8},
        priority=0,
    )
    site.wait_for_state(urgent, timeout_s=3.4)
    assert count_events(site.read_worker_history(), lent)["stopped"] == 1
    site.call_front("DELETE", lent)


def test_broken_settings_are_refused_and_the_old_ones_kept(
    site: Site,
) -> None:
    settings = site.folder / "n2.yaml"
    good = settings.read_text()
    settings.write_text("{")
    site.send_signal("n2", signal.SIGHUP)

    def read_outcomes() -> list[str]:
        return [
            line["outcome"]
            for line in site.read_decision_log("n2")
            if line["event"] == "settings.reload"
        ]

    wait_until(lambda: len(read_outcomes()) == 1)
    settings.write_text(good)
    site.send_signal("n2", signal.SIGHUP)
    wait_until(lambda: len(read_outcomes()) == 2)
    assert read_outcomes()[0].startswith("kept: ")
    assert read_outcomes()[1] == "in force"
    site.wait_for_state(site.submit_job([make_step()], instance="n2"))


def test_unknown_job_queue_and_key(site: Site) -> None:
    job = PATH_PREFIXES[0] + "0123456789abcdef"
    assert site.call_front("GET", job).status_code == 410
    assert site.call_front("GET", "/nothing/" + "0" * 16).status_code == 404
    assert site.call_front("GET", job, api_key="wrong").status_code == 401
    response = site.call_front("POST", job, body={"spec": 3})
    assert response.status_code == 400


def test_malformed_worker_entry_hurts_no_other(site: Site) -> None:
    for data in (b"\xff\x00", b'{"service": 3}', b"[]"):
        site.http_client.post(
            f"{site.store_url}/standin/put?topic=keyed.servers&key=bad",
            content=data,
        )
    site.wait_for_state(site.submit_job([make_step()]))
    site.http_client.post(
        f"{site.store_url}/standin/put?topic=keyed.servers&key=bad"
    )


def test_configuration_is_in_force_on_all(site: Site) -> None:
    routes = make_configuration(2)["routes"]
    added = {**routes[0], "name": "new", "path_prefix": "/added/"}
    site.publish_configuration(make_configuration(2, routes=[*routes, added]))

    def is_everywhere() -> bool:
        return all(
            site.call_front("GET", "/added/", instance=name).status_code == 200
            for name in site.instance_names
        )

    wait_until(is_everywhere, 2.0)
    assert site.call_front("GET", "/added/").json() == {"pending": 0}


def test_kill_of_the_active_instance_adopts_its_runs(site: Site) -> None:
    path = site.submit_job([make_step(3)], spec={"run_s": 5})
    wait_until(lambda: count_started(site, path) == 3)
    active = site.find_active_instance()
    site.kill_process(active)
    survivor = next(name for name in site.instance_names if name != active)
    assert site.wait_for_state(path, instance=survivor) == "completed"
    assert count_started(site, path) == 3


def test_planned_stop_hands_the_term_over_at_once(site: Site) -> None:
    active = site.find_active_instance()
    site.send_signal(active, signal.SIGTERM)
    site.processes[active].wait(6)
    wait_until(lambda: site.find_active_instance() != active, 1.5)


def test_frozen_active_instance_starts_nothing_when_it_wakes(
    site: Site,
) -> None:
    active = site.find_active_instance()
    path = site.submit_job([make_step(3)], spec={"run_s": 3})
    wait_until(lambda: count_started(site, path) == 3)
    site.send_signal(active, signal.SIGSTOP)
    wait_until(lambda: site.find_active_instance() != active)
    survivor = next(name for name in site.instance_names if name != active)
    more = site.submit_job([make_step(3)], instance=survivor)
    site.send_signal(active, signal.SIGCONT)
    site.wait_for_state(more, instance=survivor)
    site.wait_for_state(path, instance=survivor)
    assert count_started(site, path) == 3


def test_power_loss_of_all_loses_no_accepted_job(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 1.0})
    for name in site.instance_names:
        site.kill_process(name)
    for name in site.instance_names:
        site.start_instance(name)
    for name in site.instance_names:
        site.wait_until_ready(name)
    assert site.wait_for_state(path) == "completed"


def test_store_outage_refuses_truly_and_lets_work_run(site: Site) -> None:
    running = site.submit_job([make_step(2)], spec={"run_s": 2.0})
    wait_until(lambda: count_started(site, running) == 2)
    site.set_store_faults(status=503)
    time.sleep(0.3)
    path = PATH_PREFIXES[1] + "feedfeedfeedfeed"
    body = {"spec": '{"run_s": 0.1}', "steps": [make_step()]}
    response = site.call_front("POST", path, body=body)
    assert response.status_code == 503
    assert int(response.headers["Retry-After"]) >= 1
    time.sleep(2.0)
    site.set_store_faults(status=0)
    assert site.wait_for_state(running) == "completed"
    wait_until(lambda: site.call_front("GET", path).status_code == 410)
    assert count_started(site, running) == 2
    assert count_started(site, path) == 0


def test_lost_answers_of_the_store_double_nothing(site: Site) -> None:
    site.set_store_faults(lose_answers=0.3)
    paths = []
    for number in range(6):
        path = PATH_PREFIXES[1] + f"{number:016x}"
        body = {"spec": '{"run_s": 0.2}', "steps": [make_step(2)]}
        statuses = []
        while 200 not in statuses and len(statuses) < 8:
            name = site.instance_names[number % 3]
            response = site.call_front("POST", path, body=body, instance=name)
            statuses.append(response.status_code)
        assert 200 in statuses
        paths.append(path)
    site.set_store_faults(lose_answers=0)
    for path in paths:
        site.wait_for_state(path)
        assert count_started(site, path) == 2


def test_instance_cut_from_the_store_serves_through_peers(site: Site) -> None:
    active = site.find_active_instance()
    site.cut_off_from_store([active])
    time.sleep(0.5)
    path = site.submit_job([make_step(2)], instance=active)
    assert site.wait_for_state(path, instance=active) == "completed"


def test_silent_store_connection_is_replaced(site: Site) -> None:
    site.cut_off_from_store(site.instance_names, freeze=True)
    path = site.submit_job([make_step()], instance="n1")
    assert site.wait_for_state(path, instance="n1") == "completed"


def test_worker_crash_restarts_its_runs_elsewhere(site: Site) -> None:
    path = site.submit_job([make_step(4)], spec={"run_s": 1.5})
    wait_until(lambda: count_started(site, path) == 4)
    crashed = int(site.read_worker_history()[-1]["worker"][1:])
    site.control_worker(crashed, "crash")
    assert site.wait_for_state(path) == "completed"


def test_start_carried_out_late_is_never_doubled(site: Site) -> None:
    for number in range(2):
        site.control_worker(number, "faults", late_s=2.5)
    paths = [site.submit_job([make_step(4)], spec={"run_s": 1.0}) for _ in "ab"]
    time.sleep(4.0)
    for number in range(2):
        site.control_worker(number, "faults", late_s=0.0)
    for path in paths:
        site.wait_for_state(path)
    assert not find_duplicate_runs(site.read_worker_history())


def test_compacted_journal_is_restored_from_the_snapshot(site: Site) -> None:
    path = site.submit_job([make_step()])
    site.wait_for_state(path)
    time.sleep(6.0)
    site.set_store_faults(keep_records=5)
    other = site.submit_job([make_step()])
    site.wait_for_state(other)
    site.kill_process("n2")
    site.start_instance("n2")
    site.wait_until_ready("n2")
    assert site.wait_for_state(path, instance="n2") == "completed"
    site.set_store_faults(keep_records=1_000_000)


def test_runs_of_a_lost_worker_start_elsewhere(site: Site) -> None:
    path = site.submit_job([make_step(4)], spec={"run_s": 6.0})
    wait_until(lambda: count_started(site, path) == 4)
    lost = int(site.read_worker_history()[-1]["worker"][1:])
    site.control_worker(lost, "faults", silent=True)
    try:
        assert site.wait_for_state(path, timeout_s=25) == "completed"
    finally:
        site.control_worker(lost, "faults", silent=False)
    assert count_events(site.read_worker_history(), path)["lapsed"] > 0


def test_advised_job_runs_on_allowed_workers_only(site: Site) -> None:
    path = site.submit_job(
        [make_step(4)], spec={"advised": True}, path_prefix=ADVISED_PATH_PREFIX
    )
    assert site.wait_for_state(path) == "completed"
    job = path.rsplit("/", 1)[1]
    used = {
        event["worker"]
        for event in site.read_worker_history()
        if event["task"].startswith(job)
    }
    assert used <= {"w1", "w3"}


def test_long_running_task_is_restarted_until_cancelled(site: Site) -> None:
    path = site.submit_job(
        [make_step(long_running=True)], spec={"run_s": 0.5, "lasting": True}
    )
    wait_until(lambda: count_started(site, path) >= 3)
    assert site.wait_for_state(path, ("running",)) == "running"
    assert site.call_front("DELETE", path).status_code == 200
    site.wait_for_state(path, ("cancelled",))


def test_runs_that_outlast_a_leaving_worker_move_at_once(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 9.0})
    wait_until(lambda: count_started(site, path) == 2)
    leaving = int(site.read_worker_history()[-1]["worker"][1:])
    time.sleep(0.5)
    site.control_worker(leaving, "faults", draining=True)
    try:
        wait_until(lambda: count_started(site, path) > 2, 4.0)
        late = [
            event["at_s"]
            for event in site.read_worker_history()
            if event["event"] == "started"
            and event["worker"] == f"w{leaving}"
            and event["at_s"] > time.time() - 1.0
        ]
        assert not late
    finally:
        site.control_worker(leaving, "faults", draining=False)
        site.call_front("DELETE", path)


def test_jobs_survive_a_worker_that_fails_all(site: Site) -> None:
    site.control_worker(0, "faults", fail_all=True)
    try:
        paths = [site.submit_job([make_step(3)]) for _ in range(6)]
        for path in paths:
            assert site.wait_for_state(path) == "completed"
    finally:
        site.control_worker(0, "faults", fail_all=False)


def test_runs_that_stand_still_start_elsewhere(site: Site) -> None:
    path = site.submit_job([make_step(2)], spec={"run_s": 3.0})
    wait_until(lambda: count_started(site, path) == 2)
    stuck = int(site.read_worker_history()[-1]["worker"][1:])
    site.control_worker(stuck, "faults", stuck=True)
    try:
        assert site.wait_for_state(path) == "completed"
    finally:
        site.control_worker(stuck, "faults", stuck=False)
