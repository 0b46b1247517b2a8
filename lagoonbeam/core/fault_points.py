"""Named steps at which a test can make the process exit immediately."""

from __future__ import annotations

import os
from collections.abc import Iterable

SIGKILL_EXIT_STATUS = 137
"""Exit status at an armed step: the one that a shell reports for SIGKILL."""


class FaultPoints:
    """Exits the process when it reaches an armed step.

    Args:
        armed: Names of the armed steps.
    """

    def __init__(self, armed: Iterable[str] = ()):
        self._armed_steps = frozenset(armed)

    def reach(self, step: str) -> None:
        """Exits without any clean-up if the step is armed."""
        if step in self._armed_steps:
            os._exit(SIGKILL_EXIT_STATUS)
