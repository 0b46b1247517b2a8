"""A guard in the code, switched off to see its test fail."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutation:
    """A guard in the code and the test that must fail without it.

    Attributes:
        invariant: Invariant that the guard upholds.
        path: Module that contains the guard.
        guard_code: Source text of the guard; occurs once in the module.
        replacement_code: Source text that replaces it.
        failing_test: Test that must fail after the replacement.
    """

    invariant: str
    path: str
    guard_code: str
    replacement_code: str
    failing_test: str
