"""Preemption policies: which lent work makes room."""

from lagoonbeam.preemption import fewest_losses, never
from lagoonbeam.preemption.base import PREEMPTION_POLICIES, PreemptionPolicy

__all__ = ["PREEMPTION_POLICIES", "PreemptionPolicy", "fewest_losses", "never"]
