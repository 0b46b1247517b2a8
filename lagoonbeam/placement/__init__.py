"""Placement policies: where a gang goes."""

from lagoonbeam.placement import cells, first_fit
from lagoonbeam.placement.base import PLACEMENTS, PlacementPolicy

__all__ = ["PLACEMENTS", "PlacementPolicy", "cells", "first_fit"]
