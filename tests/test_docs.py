"""The pages' examples run as written."""

from __future__ import annotations

import doctest
import importlib
import re
import subprocess
import sys
from pathlib import Path

import pytest

from docs.make_settings import OUTPUT, render_page
from lagoonbeam.admission import ADMISSIONS, QueueView
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.rules import RulesDocument, decode_rules
from lagoonbeam.errors import QueueFullError

ROOT = Path(__file__).parent.parent


def read_block(page: str, first_line: str) -> str:
    """Returns the indented or fenced block that starts with a line."""
    text = (ROOT / page).read_text()
    fenced = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    indented = re.findall(r"(?:^ {4}.*\n)+", text, re.MULTILINE)
    plain = [re.sub(r"^ {4}", "", each, flags=re.M) for each in indented]
    return next(b for b in [*fenced, *plain] if b.startswith(first_line))


class TestPages:
    def test_settings_page_is_current(self) -> None:
        assert render_page() == OUTPUT.read_text()

    def test_plugin_example_registers(self) -> None:
        code = read_block("CONTRIBUTING.md", "from lagoonbeam.admission")
        exec(code, {})
        policy = ADMISSIONS.get("one_at_a_time")()
        rules = RulesDocument(0, ())
        job = Job("j", "o", "c", "k")
        policy.check(job, rules, QueueView())
        with pytest.raises(QueueFullError):
            policy.check(job, rules, QueueView(queued_by_caller=1))

    def test_rules_example_prints_a_valid_document(self) -> None:
        code = read_block("docs/OPERATORS.md", "from lagoonbeam.rules")
        output = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
        ).stdout
        assert decode_rules(output).get_organisation("armor")

    @pytest.mark.parametrize(
        "module",
        [
            "lagoonbeam.core.cells",
            "lagoonbeam.core.run_time_estimator",
            "lagoonbeam.core.registry",
            "lagoonbeam.rules",
        ],
    )
    def test_docstring_examples(self, module: str) -> None:
        result = doctest.testmod(importlib.import_module(module))
        assert result.attempted and not result.failed
