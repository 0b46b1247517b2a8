from __future__ import annotations

import ast
import json
import os
import re
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from lagoonbeam.site.decision_log import MAX_LINES_PER_S, DecisionLog
from lagoonbeam.site.events import Event

ROOT = Path(__file__).resolve().parent.parent.parent


def read_records(descriptor: int) -> list[dict[str, object]]:
    return [json.loads(x) for x in os.read(descriptor, 1 << 20).splitlines()]


def test_line_keeps_fields_named_like_log_record_attributes() -> None:
    reader, writer = os.pipe()
    decisions = DecisionLog("n0", "z1", descriptor=writer)
    decisions.emit(Event.DEPENDENCY, name="store", state="lost", message="m")
    (line,) = read_records(reader)
    assert line["event"] == "dependency"
    assert line["name"] == "store"
    assert line["instance"] == "n0"


def test_line_rate_is_limited_except_for_exempt_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("time.monotonic", lambda: 7.0)
    reader, writer = os.pipe()
    decisions = DecisionLog("n0", "z1", descriptor=writer)
    for number in range(MAX_LINES_PER_S * 2):
        decisions.emit(Event.RUN_START, number=number)
    decisions.emit(Event.JOB_ENDED, job="a")
    lines = read_records(reader)
    assert len(lines) <= MAX_LINES_PER_S + 1
    assert lines[-1]["event"] == "job.ended"
    rendered = decisions.metrics.render().decode()
    assert f'decisions_total{{event="run.start"}} {MAX_LINES_PER_S * 2}.0' in (
        rendered
    )


def test_full_pipe_does_not_block_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    decisions = DecisionLog("n0", "z1", descriptor=writer)
    for number in range(300):
        decisions.emit(Event.JOB_ENDED, job=str(number), text="x" * 1000)
    dropped = re.search(
        r"lines_dropped_total (\d+)", decisions.metrics.render().decode()
    )
    assert dropped is not None
    assert int(dropped[1]) > 0
    os.read(reader, 1 << 20)
    decisions.emit(Event.JOB_ENDED, job="after")
    last = os.read(reader, 1 << 20).splitlines()[-1]
    assert json.loads(last)["job"] == "after"


def test_operations_page_names_exactly_the_exported_metrics() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    named = set(re.findall(r"`(lagoonbeam_\w+)`", page))
    families = DecisionLog("n0", "z1", descriptor=2).metrics.registry.collect()
    assert named == {family.name for family in families}


def find_emits(path: Path) -> Iterator[str]:
    """Yields the name of the event of each call that emits one."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function, event = node.func, node.args[0]
        if (
            isinstance(function, ast.Attribute)
            and function.attr in ("emit", "_emit")
            and isinstance(event, ast.Attribute)
            and isinstance(event.value, ast.Name)
            and event.value.id == "Event"
        ):
            yield event.attr


def test_each_event_is_emitted_at_exactly_one_place() -> None:
    sources = [
        *(ROOT / "lagoonbeam" / "site").rglob("*.py"),
        *(ROOT / "platform" / "lagoonbeam_platform").glob("*.py"),
    ]
    emits_by_event = Counter(
        name for path in sources for name in find_emits(path)
    )
    emitted_by_log = {Event.LOG_LEFT_OUT.name}
    emitted_without_imports = {Event.INSTANCE_FAILED.name}
    assert emits_by_event == Counter(
        event.name
        for event in Event
        if event.name not in emitted_by_log | emitted_without_imports
    )
    start_script = (ROOT / "platform" / "start.py").read_text()
    assert start_script.count(f'"{Event.INSTANCE_FAILED.value}"') == 1


def test_operations_page_names_exactly_the_events() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page[page.index("| event | says |") :].partition("\n\n")[0]
    cells = [line.split("|")[1] for line in table.splitlines()]
    named = set(re.findall(r"`([a-z_.]+)`", " ".join(cells)))
    assert named == {event.value for event in Event}
