"""Prometheus metrics of a sidecar daemon."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5)


class SidecarMetrics:
    """
    The metrics of one daemon, in a registry of their own.

    :ivar requests: callers' requests by status of the response.
    :ivar latency: seconds from a request's arrival to its response.
    :ivar outcomes: calls to the local target by verdict and reason.
    :ivar target_time: seconds per call to the local target, including
        the time in its queue.
    :ivar account_decisions: callers' requests by the result of the
        check of their account, if the configuration has accounts.
    :ivar openings: seconds to open a connection or to give up, by kind
        of traffic and result.
    :ivar nested_outcomes: the outcomes of calls that running requests
        made.
    :ivar predicted_wait: seconds in the target's queue as predicted,
        per call that was queued and started.
    :ivar queue_wait: the actual seconds.
    :ivar events: log lines by event, including dropped ones.
    """

    __slots__ = (
        "account_decisions",
        "events",
        "latency",
        "nested_outcomes",
        "openings",
        "outcomes",
        "predicted_wait",
        "queue_wait",
        "registry",
        "requests",
        "shed_connections",
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
        self.shed_connections = Counter(
            "burdockgap_sidecar_shed_connections",
            "Callers' connections closed for lack of memory or descriptors.",
            ["reason"],
            registry=self.registry,
        )
        self.nested_outcomes = Counter(
            "burdockgap_sidecar_nested_outcomes",
            "Calls of running requests at the own target, as above.",
            ["verdict", "reason"],
            registry=self.registry,
        )
        self.predicted_wait = Histogram(
            "burdockgap_sidecar_predicted_wait_seconds",
            "Predicted time in the own target's queue of started calls.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "burdockgap_sidecar_queue_wait_seconds",
            "Actual time in the own target's queue of started calls.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.events = Counter(
            "burdockgap_sidecar_events",
            "Log lines by event, dropped ones included.",
            ["event"],
            registry=self.registry,
        )
        self.openings = Histogram(
            "burdockgap_sidecar_opening_seconds",
            "Time to open a connection or to give up, by kind of traffic.",
            ["kind", "result"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.account_decisions = Counter(
            "burdockgap_sidecar_account_decisions",
            "Callers' requests by the check of their account.",
            ["decision"],
            registry=self.registry,
        )

    def observe_opening(
        self, kind: str, seconds: float, is_open: bool
    ) -> None:
        """Count an attempt to open a connection."""
        result = "opened" if is_open else "failed"
        self.openings.labels(kind, result).observe(seconds)

    def count_account_decision(self, decision: str) -> None:
        """Count the result of the check of a request's account."""
        self.account_decisions.labels(decision).inc()

    def count(self, event: str) -> None:
        """Count a log line."""
        self.events.labels(event).inc()

    def gauge(self, name: str, text: str, read: object) -> None:
        """
        Register a gauge that is read when metrics are scraped.

        :param name: the metric's name without the common prefix.
        :param text: the metric's help text.
        :param read: returns the current value.
        """
        gauge = Gauge(
            f"burdockgap_sidecar_{name}", text, registry=self.registry
        )
        gauge.set_function(read)  # type: ignore[arg-type]

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
