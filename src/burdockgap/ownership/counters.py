"""Counters of the ownership of units."""

from __future__ import annotations

from prometheus_client import Counter

ACTIVATIONS = Counter(
    "burdockgap_ownership_activations",
    "Units that a session of the daemon began to serve.",
)
RELEASES = Counter(
    "burdockgap_ownership_releases",
    "Units that the daemon gave up because another session asked.",
)
LAPSES = Counter(
    "burdockgap_ownership_lease_lapses",
    "Times that a lease of the daemon ended while its session was live.",
)
