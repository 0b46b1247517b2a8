"""Adapters for the platform's instance directory."""

from lagoonbeam.instances import http
from lagoonbeam.instances.base import (
    INSTANCE_DIRECTORIES,
    InstanceDirectory,
    InstanceEntry,
)

__all__ = ["INSTANCE_DIRECTORIES", "InstanceDirectory", "InstanceEntry", "http"]
