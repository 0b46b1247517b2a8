from __future__ import annotations

import json
import os
import re
from pathlib import Path

import pytest

from lagoonbeam.site.decisions import LINES_PER_S, Decisions

ROOT = Path(__file__).resolve().parent.parent.parent


def read_lines(descriptor: int) -> list[dict[str, object]]:
    return [json.loads(x) for x in os.read(descriptor, 1 << 20).splitlines()]


def test_line_keeps_fields_whatever_their_names() -> None:
    reader, writer = os.pipe()
    decisions = Decisions("n0", "z1", descriptor=writer)
    decisions.emit("dependency", name="store", state="lost", message="m")
    (line,) = read_lines(reader)
    assert line["event"] == "dependency"
    assert line["name"] == "store"
    assert line["instance"] == "n0"


def test_volume_is_bounded_and_ends_are_never_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("time.monotonic", lambda: 7.0)
    reader, writer = os.pipe()
    decisions = Decisions("n0", "z1", descriptor=writer)
    for number in range(LINES_PER_S * 2):
        decisions.emit("run.start", number=number)
    decisions.emit("job.ended", job="a")
    lines = read_lines(reader)
    assert len(lines) <= LINES_PER_S + 1
    assert lines[-1]["event"] == "job.ended"
    rendered = decisions.metrics.render().decode()
    assert f'decisions_total{{event="run.start"}} {LINES_PER_S * 2}.0' in (
        rendered
    )


def test_full_pipe_blocks_nothing_and_is_counted() -> None:
    reader, writer = os.pipe()
    decisions = Decisions("n0", "z1", descriptor=writer)
    for number in range(300):
        decisions.emit("job.ended", job=str(number), text="x" * 1000)
    dropped = re.search(
        r"lines_dropped_total (\d+)", decisions.metrics.render().decode()
    )
    assert dropped is not None
    assert int(dropped[1]) > 0
    os.read(reader, 1 << 20)
    decisions.emit("job.ended", job="after")
    last = os.read(reader, 1 << 20).splitlines()[-1]
    assert json.loads(last)["job"] == "after"


def test_page_names_all_metrics_and_no_other() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    named = set(re.findall(r"`(lagoonbeam_\w+)`", page))
    families = Decisions("n0", "z1", descriptor=2).metrics.registry.collect()
    assert named == {family.name for family in families}
