"""Tests that the documentation's examples run and generated pages match."""

from __future__ import annotations

import doctest
import importlib
import re
import subprocess
import sys
from pathlib import Path

import pytest

from docs.make_settings import OUTPUT_PATH, render_page
from lagoonbeam.admission import ADMISSIONS, QueueView
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.rules import RulesDocument, decode_rules
from lagoonbeam.errors import QueueFullError

ROOT = Path(__file__).parent.parent


def read_code_block(page: str, first_line: str) -> str:
    """Returns the indented or fenced code block that starts with a line."""
    text = (ROOT / page).read_text()
    fenced = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    indented = re.findall(r"(?:^ {4}.*\n)+", text, re.MULTILINE)
    dedented = [re.sub(r"^ {4}", "", lines, flags=re.M) for lines in indented]
    return next(
        block for block in [*fenced, *dedented] if block.startswith(first_line)
    )


class TestPages:
    def test_settings_page_matches_the_models(self) -> None:
        assert render_page() == OUTPUT_PATH.read_text()

    def test_admission_plugin_example_is_registered_and_refuses(self) -> None:
        code = read_code_block("CONTRIBUTING.md", "from lagoonbeam.admission")
        exec(code, {})
        admission = ADMISSIONS.get("one_at_a_time")()
        rules = RulesDocument(0, ())
        job = Job("j", "o", "c", "k")
        admission.check(job, rules, QueueView())
        with pytest.raises(QueueFullError):
            admission.check(job, rules, QueueView(queued_by_caller=1))

    def test_rules_example_prints_a_valid_document(self) -> None:
        code = read_code_block("docs/OPERATORS.md", "from lagoonbeam.rules")
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
    def test_docstring_examples_pass(self, module: str) -> None:
        result = doctest.testmod(importlib.import_module(module))
        assert result.attempted and not result.failed
