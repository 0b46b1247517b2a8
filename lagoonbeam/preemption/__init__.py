"""Preemption policies: which lent work makes room."""

from lagoonbeam.preemption import fewest_losses, never
from lagoonbeam.preemption.base import PREEMPTIONS, PreemptionPolicy

__all__ = ["PREEMPTIONS", "PreemptionPolicy", "fewest_losses", "never"]
