"""Placement policies: where a gang goes."""

from lagoonbeam.placement import cells, first_fit
from lagoonbeam.placement.base import (
    PLACEMENT_POLICIES,
    GuaranteeReach,
    PlacementPolicy,
)

__all__ = [
    "PLACEMENT_POLICIES",
    "PlacementPolicy",
    "GuaranteeReach",
    "cells",
    "first_fit",
]
