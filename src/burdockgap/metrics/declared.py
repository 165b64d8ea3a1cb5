"""Metrics of the listeners and the router."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

_LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.003,
    0.004,
    0.005,
    0.006,
    0.007,
    0.008,
    0.009,
    0.01,
    0.011,
    0.015,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Metrics:
    """
    Metrics of the daemon's listeners and its router.

    Other modules use the default registry of ``prometheus_client``, and
    the daemon's state is collected when the metrics are scraped.

    :ivar registry: the registry of these metrics and of the daemon's
        state.
    """

    __slots__ = (
        "attempts",
        "bad_requests",
        "callers_gone",
        "hedges",
        "hedges_won",
        "latency",
        "peer_calls_rejected",
        "peer_connections_replaced",
        "registry",
        "requests",
        "retries",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._declare_requests()
        self._declare_peers()

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        """Declare a counter."""
        return Counter(
            f"burdockgap_{name}", text, labels, registry=self.registry
        )

    def _histogram(self, name: str, text: str) -> Histogram:
        """Declare a histogram of latencies in seconds."""
        return Histogram(
            f"burdockgap_{name}",
            text,
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _declare_requests(self) -> None:
        """Declare the metrics of requests and attempts."""
        self.requests = self._counter(
            "requests_total",
            "Requests of callers by outcome; reason is empty for answers.",
            "verdict",
            "reason",
        )
        self.latency = self._histogram(
            "request_seconds",
            "Time from a caller's request to the end of its answer.",
        )
        self.attempts = self._counter(
            "attempts_total",
            "Attempts at requests by outcome; reason is empty for answers.",
            "verdict",
            "reason",
        )
        self.retries = self._counter(
            "retries_total",
            "Attempts after the first, hedges left out.",
        )
        self.hedges = self._counter(
            "hedges_total",
            "Attempts sent while an earlier one was still running.",
        )
        self.hedges_won = self._counter(
            "hedges_won_total",
            "Hedges that answered before the earlier attempt.",
        )
        self.bad_requests = self._counter(
            "bad_requests_total",
            "Malformed or oversized requests by listener.",
            "listener",
        )
        self.callers_gone = self._counter(
            "callers_gone_total",
            "Requests whose caller closed the connection before the end.",
        )

    def _declare_peers(self) -> None:
        """Declare the metrics of traffic between daemons."""
        self.peer_calls_rejected = self._counter(
            "peer_calls_rejected_total",
            "Calls of other daemons without proof or with garbage.",
        )
        self.peer_connections_replaced = self._counter(
            "peer_connections_replaced_total",
            "Silent connections to other daemons that were replaced.",
        )
