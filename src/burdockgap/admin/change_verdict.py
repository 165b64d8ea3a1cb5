"""Verdicts on changes of operators."""

from __future__ import annotations

import enum


class ChangeVerdict(enum.Enum):
    """Whether an operator's change took effect, and if not, why."""

    ACCEPTED = "accepted"
    """Read back from the log and in force."""

    REJECTED = "rejected"
    """Appended without effect: it is based on another version."""

    INVALID = "invalid"
    """Not appended: the change itself is invalid."""

    NOT_FOUND = "not-found"
    """Not appended: what it names does not exist."""

    LOG_UNAVAILABLE = "log-unavailable"
    """Not appended: the log did not accept it."""

    UNKNOWN = "unknown"
    """Sent to the log without a reply; it may still take effect."""
