"""Preemption policies: which running jobs may be stopped for others."""

from lagoonbeam.preemption import fewest_losses, never
from lagoonbeam.preemption.base import PREEMPTION_POLICIES, PreemptionPolicy

__all__ = ["PREEMPTION_POLICIES", "PreemptionPolicy", "fewest_losses", "never"]
