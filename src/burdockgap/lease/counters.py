"""Counters of the lease protocol."""

from __future__ import annotations

from prometheus_client import Counter

IGNORED = Counter(
    "burdockgap_lease_ignored_total",
    "Lease datagrams without effect, by cause.",
    ["cause"],
)
DATAGRAMS = Counter(
    "burdockgap_lease_datagrams_total",
    "Lease datagrams, by direction and type.",
    ["direction", "type"],
)
BYTES = Counter(
    "burdockgap_lease_bytes_total",
    "Payload bytes of lease datagrams, by direction.",
    ["direction"],
)
EXPIRED_SESSIONS = Counter(
    "burdockgap_lease_expired_total",
    "Sessions that expired at this witness.",
)
