"""Placement policies: where a gang goes."""

from lagoonbeam.placement import cells, first_fit
from lagoonbeam.placement.base import PLACEMENTS, PlacementPolicy, Reach

__all__ = ["PLACEMENTS", "PlacementPolicy", "Reach", "cells", "first_fit"]
