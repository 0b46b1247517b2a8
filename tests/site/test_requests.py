from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonbeam.errors import InvalidRequestError
from lagoonbeam.site.model import JobRequest, Step
from lagoonbeam.site.requests import decode_submission, make_job_request
from tests.site.builders import make_queue_policy

MINIMAL_BODY = {"caller": "saw-3", "kind": "q1"}


def decode_job_request(
    body: dict[str, Any], idempotency_key: str = ""
) -> JobRequest:
    submission = decode_submission(
        json.dumps({**MINIMAL_BODY, **body}).encode()
    )
    return make_job_request(
        submission,
        queue=make_queue_policy(1),
        organisation="armor",
        idempotency_key=idempotency_key,
    )


def test_job_that_no_instance_could_hold_is_rejected() -> None:
    body = {"steps": [{"tasks": 4_096}], "repeat": {"count": 10_000}}
    with pytest.raises(InvalidRequestError):
        decode_job_request(body)


def test_step_fields_are_all_converted() -> None:
    step = {
        "tasks": 4,
        "accelerators": 2,
        "cores": 1.5,
        "memory_bytes": 1_500_000,
        "declared_run_s": 7,
        "gang": True,
        "adjacency": "rack",
        "checkpointable": True,
        "label": "fast",
        "near_rack": "r1",
        "max_per_worker": 2,
        "speculative": True,
        "long_running": True,
        "image": "render",
        "target_latency_ms": 50,
        "filling": True,
        "may_miss": 1,
    }
    repeat = {"count": 3, "first_due_s": 10, "interval_s": 5}
    job = decode_job_request(
        {"steps": [step, {"after": [0]}], "repeat": repeat}
    )
    assert job.steps == (
        Step(
            count=4,
            cpu_millis=1500,
            memory_mb=2,
            accelerators=2,
            estimated_s=7.0,
            is_checkpointing=True,
            is_gang=True,
            is_one_rack=True,
            required_label="fast",
            data_rack="r1",
            max_per_worker=2,
            is_speculative=True,
            is_long_running=True,
            image="render",
            target_latency_ms=50.0,
            is_filling=True,
            may_miss=1,
        ),
        Step(cpu_millis=1000, accelerators=1, estimated_s=60.0, after=(0,)),
    )
    assert (job.repeat_count, job.first_due_s, job.interval_s) == (3, 10, 5)
    assert job.caller == "saw-3"


def test_shape_becomes_one_gang_and_jobs_run_once_unless_idempotent() -> None:
    job = decode_job_request({"shape": {"members": 3, "adjacency": "rack"}})
    (step,) = job.steps
    assert (step.count, step.is_gang, step.is_one_rack) == (3, True, True)
    assert job.runs_once
    assert not decode_job_request({"idempotent": True}).runs_once


def test_idempotency_key_determines_the_job_id() -> None:
    first = decode_job_request({}, "order-1")
    assert first.job_id == decode_job_request({}, "order-1").job_id
    assert first.job_id != decode_job_request({}, "order-2").job_id
    assert decode_job_request({}).job_id != decode_job_request({}).job_id


@pytest.mark.parametrize(
    "body",
    [
        {"steps": [{"tasks": 0}]},
        {"steps": [{"after": [0]}]},
        {"steps": [{}, {"after": [5]}]},
        {"steps": [{"unknown": 1}]},
        {"steps": [{}], "shape": {}},
        {"shape": {"adjacency": "worker"}},
        {"availability_zone": "z1"},
        {"urgency": "urgent"},
        {"repeat": {"count": 0}},
        {"caller": ""},
        {"kind": 5},
    ],
)
def test_invalid_submission_raises_invalid_request_error(
    body: dict[str, Any],
) -> None:
    with pytest.raises(InvalidRequestError):
        decode_job_request(body)


def test_too_long_idempotency_key_raises_invalid_request_error() -> None:
    with pytest.raises(InvalidRequestError):
        decode_job_request({}, "k" * 256)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_invalid_request_error(data: bytes) -> None:
    try:
        decode_submission(data)
    except InvalidRequestError as error:
        assert error.detail
