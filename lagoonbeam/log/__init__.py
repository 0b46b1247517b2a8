"""Adapters for the platform's log."""

from lagoonbeam.log import http
from lagoonbeam.log.base import LOG_STORES, LogPage, LogStore

__all__ = ["LOG_STORES", "LogPage", "LogStore", "http"]
