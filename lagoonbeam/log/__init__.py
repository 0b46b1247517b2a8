"""Adapters for the platform's log."""

from lagoonbeam.log import http
from lagoonbeam.log.base import LOGS, LogPage, LogStore

__all__ = ["LOGS", "LogPage", "LogStore", "http"]
