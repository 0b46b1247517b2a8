"""Metrics over statsd; ``docs/OPERATORS.md`` lists names and units."""

from __future__ import annotations

import statsd

from lagoonbeam.core.settings import MetricsSettings


class StatsdMetrics:
    """Sends counters, gauges and timers, or nothing if no host is set.

    Args:
        settings: Address of the statsd server and prefix of the names.
        instance: Name of the instance, part of every metric name.
    """

    def __init__(self, settings: MetricsSettings, *, instance: str):
        self._client: statsd.StatsClient | None = None
        if settings.host:
            self._client = statsd.StatsClient(
                settings.host,
                settings.port,
                prefix=f"{settings.prefix}.{instance}",
            )

    def count(self, name: str, change: int = 1) -> None:
        """Adds `change` to a counter."""
        if self._client:
            self._client.incr(name, change)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client:
            self._client.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Sends a duration; statsd timers are in milliseconds."""
        if self._client:
            self._client.timing(name, seconds * 1000.0)

    def close(self) -> None:
        """Closes the client."""
        if self._client:
            self._client.close()
