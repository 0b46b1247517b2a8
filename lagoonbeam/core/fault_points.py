"""Named steps at which a test can make the process end at once."""

from __future__ import annotations

import os
from collections.abc import Iterable

SIGKILL_EXIT_STATUS = 137
"""Exit status of a process that met an armed step, as after SIGKILL."""


class FaultPoints:
    """Ends the process when it reaches an armed step.

    Args:
        armed: Names of the armed steps.
    """

    def __init__(self, armed: Iterable[str] = ()):
        self._armed_steps = frozenset(armed)

    def reach(self, step: str) -> None:
        """Ends the process if the step is armed, without any clean-up."""
        if step in self._armed_steps:
            os._exit(SIGKILL_EXIT_STATUS)
