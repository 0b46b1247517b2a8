"""Placement policies: which cells a gang runs on."""

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
