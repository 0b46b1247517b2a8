"""Adapters for the platform's list of instances."""

from lagoonbeam.instances import http
from lagoonbeam.instances.base import (
    DIRECTORIES,
    InstanceDirectory,
    InstanceEntry,
)

__all__ = ["DIRECTORIES", "InstanceDirectory", "InstanceEntry", "http"]
