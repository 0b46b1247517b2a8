"""Tests that only the tests listed in KNOWN-RED.txt are expected to fail."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from tests import conftest

KNOWN_FAILURES_TEXT = """# test | command | what was seen | issue
tests/test_a.py::test_b | make test | timeout | 12

"""


def test_only_listed_tests_are_marked_xfail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        "pathlib.Path.read_text", lambda path: KNOWN_FAILURES_TEXT
    )
    marked_node_ids: list[str] = []

    def make_item(node_id: str) -> Any:
        return SimpleNamespace(
            nodeid=node_id,
            add_marker=lambda marker: marked_node_ids.append(node_id),
        )

    node_ids = ["tests/test_a.py::test_b", "tests/test_a.py::test_bc"]
    conftest.pytest_collection_modifyitems(
        [make_item(each) for each in node_ids]
    )
    assert marked_node_ids == node_ids[:1]
