"""Ranks of claims on a memory budget."""

from __future__ import annotations

from enum import Enum


class Claim(Enum):
    """How much of the budget's reserve a claim may use, as a share."""

    LARGE = 0.0
    SMALL = 0.5
    """Heads, connections and messages up to 64 KiB."""
    CONTROL = 1.0
    """Heartbeats, readiness checks and the metrics page."""
