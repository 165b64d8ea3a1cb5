"""Metrics of the calls to the platform's log."""

from __future__ import annotations

from prometheus_client import Counter

APPENDS = Counter(
    "burdockgap_log_append_outcomes",
    "Appends to the log, by outcome.",
    ["stream", "outcome"],
)
READ_FAILURES = Counter(
    "burdockgap_log_read_failures", "Reads that the log failed.", ["stream"]
)
TRIMS = Counter(
    "burdockgap_log_trims", "Offsets found to be trimmed.", ["stream"]
)
READ_RESTARTS = Counter(
    "burdockgap_log_pokes", "Reads restarted early.", ["stream"]
)
