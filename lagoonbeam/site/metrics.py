"""Metrics of one instance in the Prometheus text format.

``docs/OPERATIONS.md`` lists names and units; a test compares the names.
"""

from __future__ import annotations

import anyio
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
"""Upper bounds of the latency histograms, in seconds."""
LOOP_DELAY_INTERVAL_S = 0.1
"""Seconds between two measurements of the event loop's delay."""


class Metrics:
    """Counters, gauges and latency histograms of one instance."""

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry(auto_describe=False)

        def counter(name: str, description: str, *labels: str) -> Counter:
            return Counter(
                f"lagoonbeam_{name}", description, labels, registry=registry
            )

        def gauge(name: str, description: str, *labels: str) -> Gauge:
            return Gauge(
                f"lagoonbeam_{name}", description, labels, registry=registry
            )

        def histogram(name: str, description: str) -> Histogram:
            return Histogram(
                f"lagoonbeam_{name}",
                description,
                registry=registry,
                buckets=LATENCY_BUCKETS_S,
            )

        self.decisions = counter("decisions", "Decisions by event.", "event")
        self.requests = counter(
            "requests", "Callers' requests by status.", "method", "status"
        )
        self.refusals = counter(
            "refusals", "Callers' requests not served, by reason.", "reason"
        )
        self.store_calls = counter(
            "store_calls", "Store calls by route and result.", "route", "result"
        )
        self.request_limits = counter(
            "request_limits", "Requests or connections ended.", "limit"
        )
        self.request_bytes = gauge(
            "request_bytes", "Memory held for requests and connections."
        )
        self.client_connections = gauge("client_connections", "Open ones.")
        self.starts = counter("starts", "Start orders by outcome.", "outcome")
        self.speed_placements = counter(
            "speed_placements", "Starts on workers of unequal speed.", "speed"
        )
        self.ends = counter("ends", "Runs that ended, by how.", "how")
        self.lost_core_s = counter(
            "lost_core_seconds", "Work thrown away to make room."
        )
        self.evictions_held = counter(
            "evictions_held", "Evictions held back, by cause.", "cause"
        )
        self.lines_left_out = counter("log_lines_left_out", "Sampled lines.")
        self.lines_dropped = counter("log_lines_dropped", "Full pipe.")
        self.acceptance_latency_s = histogram(
            "acceptance_seconds", "From a submission's arrival to its answer."
        )
        self.start_latency_s = histogram(
            "start_seconds", "From a unit's due time to its start order."
        )
        self.finish_latency_s = histogram(
            "finish_seconds", "From a job's acceptance to its end."
        )
        self.loop_delay_s = histogram(
            "loop_delay_seconds", "How late the event loop wakes."
        )
        self.term = gauge("term", "Term held; 0 while following.")
        self.configuration = gauge("configuration_version", "In force.")
        self.configuration_age_s = gauge(
            "configuration_age_seconds", "Since the last complete read."
        )
        self.journal_age_s = gauge("journal_age_seconds", "Age of the copy.")
        self.open_jobs = gauge("open_jobs", "Jobs that are not ended.")
        self.queued_jobs = gauge(
            "queued_jobs", "Not started.", "queue", "organisation"
        )
        self.running_tasks = gauge("running_tasks", "Runs that may exist.")
        self.late_starts = gauge(
            "late_starts", "Unanswered starts of ended runs, while active."
        )
        self.usable_workers = gauge("usable_workers", "While active.")
        self.workers_by_speed = gauge(
            "workers_by_speed", "Workers known, while active.", "speed"
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    async def measure_loop_delay(self) -> None:
        """Measures how late the event loop resumes a sleep, until cancelled."""
        while True:
            due_s = anyio.current_time() + LOOP_DELAY_INTERVAL_S
            await anyio.sleep(LOOP_DELAY_INTERVAL_S)
            self.loop_delay_s.observe(max(0.0, anyio.current_time() - due_s))
