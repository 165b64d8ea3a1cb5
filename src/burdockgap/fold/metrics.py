"""Counters of the folds."""

from __future__ import annotations

from prometheus_client import Counter

RECORDS = Counter(
    "burdockgap_fold_records", "Records that were folded.", ["stream"]
)
UNDECODABLE = Counter(
    "burdockgap_fold_undecodable_records",
    "Records that were skipped since they could not be decoded.",
    ["stream"],
)
SNAPSHOTS = Counter(
    "burdockgap_fold_snapshots_installed", "Snapshots that were installed."
)
