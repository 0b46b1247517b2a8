"""Decoding of the platform's messages, and the errors for invalid ones."""

from __future__ import annotations

import json

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from lagoonbeam_platform.configuration import decode_configuration
from lagoonbeam_platform.machines import decode_machine_page, decode_wave
from lagoonbeam_platform.platform_job_api import decode_job
from lagoonbeam_platform.settings import load_instance_settings, parse_address
from lagoonbeam_platform.store_client import (
    decode_journal_page,
    decode_keyed_record,
)
from lagoonbeam_platform.workers import decode_poll_reply, decode_worker_report

from lagoonbeam.errors import (
    InvalidRequestError,
    MalformedDataError,
    SettingsError,
)
from lagoonbeam.site.machines import Machine, MachineState, UpkeepWave
from lagoonbeam.site.model import QueuePolicy, QueueRoute, RunEndReason
from lagoonbeam.site.requests import decode_submission

ROUTE = QueueRoute(QueuePolicy("q", "s"), "h", "/p/")
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.binary(max_size=100) | JSON.map(lambda v: json.dumps(v).encode()))
def test_arbitrary_bytes_raise_typed_errors(data: bytes) -> None:
    for decode in (
        decode_configuration,
        decode_poll_reply,
        decode_keyed_record,
        decode_wave,
        decode_machine_page,
        lambda d: decode_worker_report("w", d),
        lambda d: decode_journal_page(0, d),
    ):
        try:
            decode(data)
        except MalformedDataError as error:
            assert error.detail
    with pytest.raises(InvalidRequestError):
        decode_job(data, "0" * 16, ROUTE, None)


def test_decode_worker_report() -> None:
    entry = {
        "service": "s",
        "address": "10.128.0.9:8080",
        "zone": "z",
        "state": "draining",
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
        "labels": ["a", "r1-3"],
        "born": 17,
        "drain_remaining_ms": 1500,
        "seq": 4,
    }
    report = decode_worker_report("i-1", json.dumps(entry).encode())
    assert report.is_draining
    assert (report.rack, report.incarnation) == ("r1-3", 17)
    assert report.drain_remaining_s == 1.5
    entry["state"] = "resting"
    with pytest.raises(MalformedDataError):
        decode_worker_report("i-1", json.dumps(entry).encode())


VALID_ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
    "born": 17,
}
NESTED = "[" * 5000 + "]" * 5000


@pytest.mark.parametrize(
    ("field", "text"),
    [
        ("address", '"10.128.0.9:80800"'),
        ("address", '"10.128.0.9:0"'),
        ("address", '"10.128.0.9:\u0664"'),
        ("address", '"\u00e9.example:8080"'),
        ("born", "1" + "0" * 30),
        ("born", "-1"),
        ("born", "1e999"),
        ("capacity", f'{{"cpu": 1, "mem_mb": 1{"0" * 30}, "gpu": 1}}'),
        ("capacity", '{"cpu": 1, "mem_mb": 1, "gpu": -1}'),
        ("drain_remaining_ms", "1e999"),
        ("labels", NESTED),
        ("other", NESTED),
        (None, NESTED),
        (None, r'"\ud800"'),
    ],
)
def test_entry_of_another_writer_names_no_worker(
    field: str | None, text: str
) -> None:
    """Such an entry ended each active instance in turn."""
    entry = json.dumps({**VALID_ENTRY, field: "@"}).replace('"@"', text)
    with pytest.raises(MalformedDataError):
        decode_worker_report("w", (entry if field else text).encode())


def test_entry_without_its_start_time_names_no_worker() -> None:
    entry = {**VALID_ENTRY}
    decode_worker_report("w", json.dumps(entry).encode())
    del entry["born"]
    with pytest.raises(MalformedDataError):
        decode_worker_report("w", json.dumps(entry).encode())


@pytest.mark.parametrize("name", ["", "\ufffd-1", "a b", "a\r\nX: y", "\u0663"])
def test_name_that_no_header_can_carry_names_no_worker(name: str) -> None:
    """The active instance ended when it called such a worker."""
    with pytest.raises(MalformedDataError):
        decode_worker_report(name, json.dumps(VALID_ENTRY).encode())


def test_deeply_nested_text_raises_typed_errors() -> None:
    data = NESTED.encode()
    nested_field = f'{{"other": {NESTED}}}'.encode()
    for decode in (
        decode_configuration,
        decode_machine_page,
        decode_poll_reply,
        decode_wave,
    ):
        for text in (data, nested_field):
            with pytest.raises(MalformedDataError):
                decode(text)
    for text in (data, nested_field):
        with pytest.raises(InvalidRequestError):
            decode_job(text, "0" * 16, ROUTE, None)
        with pytest.raises(InvalidRequestError):
            decode_submission(text)


def test_decode_machine_page() -> None:
    entry = {
        "machine_id": "m-0a3f1",
        "pool": "huvo11a",
        "state": "up",
        "zone": "z",
        "labels": ["a", "r1-2"],
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 2},
        "id": "i-7f3a91c2",
    }
    body = {"machines": [entry, {**entry, "id": None}], "next_token": "t"}
    machines, token = decode_machine_page(json.dumps(body).encode())
    assert token == "t"
    assert machines[0] == Machine(
        "m-0a3f1",
        "huvo11a",
        MachineState.UP,
        "z",
        ("a", "r1-2"),
        16000,
        32768,
        2,
        "i-7f3a91c2",
    )
    assert machines[1].worker == ""


def test_decode_upkeep_wave() -> None:
    data = b'{"wave":1,"machines":["m-1","m-2"],"duration_s":20,"cap":1}'
    assert decode_wave(data) == UpkeepWave(1, ("m-1", "m-2"), 20.0, 1)


def test_decode_spare_services() -> None:
    services = [{"name": "a", "spare": False}, {"name": "b", "spare": True}]
    data = json.dumps({"version": 1, "services": services}).encode()
    assert decode_configuration(data).spare_services == {"b"}


def test_decode_poll_reply() -> None:
    body = {
        "clock_ms": 5,
        "born": 7,
        "running": [["j.0.0.1", 2, "c", 41, 900]],
        "finished": [[58, "j.0.0.9", 1, "broken", ""]],
    }
    reply = decode_poll_reply(json.dumps(body).encode())
    assert (reply.running[0].checkpoint, reply.running[0].percent) == ("c", 41)
    assert reply.finished[0].end is RunEndReason.PEER_LOST


def test_decode_job_with_all_fields() -> None:
    step = {
        "count": 2,
        "cpu": 500,
        "mem_mb": 256,
        "gpu": 4,
        "estimated_ms": 900,
        "gang": True,
        "same_rack": True,
        "affinity": "r1-3",
        "required_label": "a",
        "max_per_server": 1,
        "checkpointing": True,
    }
    body = {
        "spec": "x",
        "steps": [step, {"after": [0]}],
        "repeat_count": 3,
        "start_at_ms": 5000,
        "interval_ms": 250,
    }
    job = decode_job(json.dumps(body).encode(), "a" * 16, ROUTE, None)
    first, second = job.steps
    assert first.is_gang and first.is_one_rack and first.is_checkpointing
    assert (first.data_rack, first.max_per_worker) == ("r1-3", 1)
    assert second.after == (0,)
    assert (job.first_due_s, job.interval_s) == (5.0, 0.25)


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [{"count": 0}],
        [{"after": [0]}],
        [{"after": [1]}, {}],
        [{"count": 1_000_000_000}],
        65 * [{}],
        [{"cpu": -1}],
        [{"mem_mb": -1}],
        [{"gpu": -1}],
        [{"estimated_ms": -1}],
        [{"max_per_server": -1}],
    ],
)
def test_invalid_steps_are_rejected(steps: list[object]) -> None:
    body = json.dumps({"spec": "x", "steps": steps}).encode()
    with pytest.raises(InvalidRequestError):
        decode_job(body, "a" * 16, ROUTE, None)


@pytest.mark.parametrize(
    "fields",
    [
        {"repeat_count": -1},
        {"repeat_count": 1_000_000_000},
        {"repeat_count": 10_000, "steps": [{"count": 1_000}]},
        {"interval_ms": -1},
        {"spec": 5_000 * "x"},
    ],
)
def test_job_that_no_instance_could_hold_is_rejected(
    fields: dict[str, object],
) -> None:
    body = json.dumps({"spec": "x", "steps": [{}], **fields}).encode()
    with pytest.raises(InvalidRequestError):
        decode_job(body, "a" * 16, ROUTE, None)


def test_route_with_longest_prefix_is_found() -> None:
    def route(name: str, prefix: str) -> dict[str, object]:
        return {
            "name": name,
            "host": "h",
            "path_prefix": prefix,
            "service": "s",
        }

    configuration_document = {
        "version": 3,
        "routes": [route("a", "/x/"), route("b", "/x/y/")],
    }
    configuration = decode_configuration(
        json.dumps(configuration_document).encode()
    )
    matching_route = configuration.find_route("h", "/x/y/z")
    assert matching_route is not None
    assert matching_route.policy.name == "b"


def test_missing_settings_file_and_invalid_address_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("LAGOONBEAM_BOOT", "/nowhere.yaml")
    with pytest.raises(SettingsError, match="nowhere"):
        anyio.run(load_instance_settings)
    with pytest.raises(SettingsError, match="IP:PORT"):
        parse_address("nine")


def test_full_page_of_ends_is_marked_as_truncated() -> None:
    ends = [[n, "a.0.0.0", n, "done", ""] for n in range(500)]
    full = json.dumps({"clock_ms": 1, "finished": ends}).encode()
    assert decode_poll_reply(full).is_truncated
    short = json.dumps({"clock_ms": 1, "finished": ends[1:]}).encode()
    assert not decode_poll_reply(short).is_truncated
