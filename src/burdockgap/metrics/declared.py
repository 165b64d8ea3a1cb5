"""The declaration of every metric."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

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
    All metrics of one daemon, on a registry of their own.

    :ivar registry: what the administration API renders.
    """

    __slots__ = (
        "activations",
        "attempts",
        "bad_requests",
        "config_version",
        "control_bytes",
        "control_messages",
        "coordinator",
        "datagrams_rejected",
        "hedges",
        "hedges_won",
        "in_flight",
        "in_flight_limit",
        "latency",
        "lease_renewals",
        "leases_lapsed",
        "log_appends",
        "log_errors",
        "log_offset",
        "log_reads",
        "peer_connections_replaced",
        "promises_received",
        "promises_sent",
        "queue_length",
        "queue_wait",
        "registry",
        "releases",
        "releases_answered",
        "requests",
        "retries",
        "term",
        "units_owned",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._declare_requests()
        self._declare_gate()
        self._declare_ownership()
        self._declare_log()
        self._declare_control()

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        """Declare a counter."""
        return Counter(
            f"burdockgap_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        """Declare a gauge."""
        return Gauge(
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
        """Declare what the router counts."""
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

    def _declare_gate(self) -> None:
        """Declare what the gate counts."""
        self.queue_length = self._gauge(
            "queue_length",
            "Requests that wait for the target.",
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds",
            "Time that requests waited for the target.",
        )
        self.in_flight = self._gauge(
            "in_flight_requests",
            "Requests that the target works on.",
        )
        self.in_flight_limit = self._gauge(
            "in_flight_limit",
            "Requests that the target may work on at once.",
        )

    def _declare_ownership(self) -> None:
        """Declare what sessions and witnesses count."""
        self.lease_renewals = self._counter(
            "lease_renewals_total",
            "Renewals acknowledged by a majority of witnesses.",
        )
        self.leases_lapsed = self._counter(
            "leases_lapsed_total",
            "Times that the daemon's own lease ended without renewal.",
        )
        self.promises_sent = self._counter(
            "promises_sent_total",
            "Promises of this witness that a session has ended.",
        )
        self.promises_received = self._counter(
            "promises_received_total",
            "Promises received that a session has ended.",
        )
        self.activations = self._counter(
            "activations_total",
            "Units that the daemon began to serve.",
        )
        self.releases = self._counter(
            "releases_total",
            "Units that the daemon gave up.",
        )
        self.releases_answered = self._counter(
            "releases_answered_total",
            "Answers given to release messages.",
        )
        self.units_owned = self._gauge(
            "units_owned",
            "Units that the daemon serves.",
        )

    def _declare_log(self) -> None:
        """Declare what the log's client and the folds count."""
        self.log_reads = self._counter(
            "log_reads_total",
            "Reads of the log that succeeded.",
            "stream",
        )
        self.log_appends = self._counter(
            "log_appends_total",
            "Appends to the log that succeeded.",
            "stream",
        )
        self.log_errors = self._counter(
            "log_errors_total",
            "Calls to the log that failed; error is unavailable if the "
            "call had no effect, uncertain if it may have had one.",
            "stream",
            "error",
        )
        self.log_offset = self._gauge(
            "log_offset",
            "Offset of the next record to fold.",
            "stream",
        )
        self.config_version = self._gauge(
            "config_version",
            "Version of the configuration in force.",
        )
        self.term = self._gauge(
            "term",
            "Term of the coordinator known to the daemon.",
        )
        self.coordinator = self._gauge(
            "coordinator",
            "1 if the daemon is the coordinator, else 0.",
        )

    def _declare_control(self) -> None:
        """Declare what traffic between daemons counts."""
        self.control_bytes = self._counter(
            "control_bytes_total",
            "Bytes of control messages; direction is sent or received.",
            "direction",
        )
        self.control_messages = self._counter(
            "control_messages_total",
            "Control messages; direction is sent or received.",
            "direction",
        )
        self.datagrams_rejected = self._counter(
            "datagrams_rejected_total",
            "Datagrams dropped as malformed, unsigned or misdirected.",
            "reason",
        )
        self.peer_connections_replaced = self._counter(
            "peer_connections_replaced_total",
            "Silent connections to other daemons that were replaced.",
        )
