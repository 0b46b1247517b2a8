"""Metrics by statsd; ``docs/OPERATORS.md`` lists names and units."""

from __future__ import annotations

import statsd

from lagoonbeam.core.settings import MetricsSettings


class StatsdMetrics:
    """Sends counters, gauges and timers; sends nothing if no host is set.

    Args:
        settings: Where to.
        instance: Put into every name.
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
        """Adds to a counter."""
        if self._client:
            self._client.incr(name, change)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client:
            self._client.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Reports a duration (statsd carries milliseconds)."""
        if self._client:
            self._client.timing(name, seconds * 1000.0)

    def close(self) -> None:
        """Ends the client."""
        if self._client:
            self._client.close()
