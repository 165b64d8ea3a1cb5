"""Counters, gauges and histograms of a daemon beside a server."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5)


class SidecarMetrics:
    """
    What a daemon counts.

    :ivar requests: callers' requests by status of the answer.
    :ivar latency: seconds from a request's arrival to its answer.
    :ivar outcomes: calls at the own target by verdict and reason.
    :ivar target_time: seconds of calls at the own target, with the
        queue.
    :ivar events: log lines by event, dropped ones included.
    """

    __slots__ = (
        "events",
        "latency",
        "outcomes",
        "registry",
        "requests",
        "target_time",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "burdockgap_sidecar_requests",
            "Callers' requests by status of the answer.",
            ["status"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "burdockgap_sidecar_latency_seconds",
            "Time from a request's arrival to its answer.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.outcomes = Counter(
            "burdockgap_sidecar_outcomes",
            "Calls at the own target by verdict and reason.",
            ["verdict", "reason"],
            registry=self.registry,
        )
        self.target_time = Histogram(
            "burdockgap_sidecar_target_seconds",
            "Time of calls at the own target, queue included.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.events = Counter(
            "burdockgap_sidecar_events",
            "Log lines by event, dropped ones included.",
            ["event"],
            registry=self.registry,
        )

    def count(self, event: str) -> None:
        """Count a log line."""
        self.events.labels(event).inc()

    def gauge(self, name: str, text: str, read: object) -> None:
        """
        Add a value that is read when the metrics are.

        :param name: its name without the common prefix.
        :param read: returns the value.
        """
        gauge = Gauge(
            f"burdockgap_sidecar_{name}", text, registry=self.registry
        )
        gauge.set_function(read)  # type: ignore[arg-type]

    def expose(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)
