"""What became of a change."""

from __future__ import annotations

import enum


class ChangeVerdict(enum.Enum):
    """The fate of an operator's change."""

    ACCEPTED = "accepted"
    """Read back from the log and in force."""

    REJECTED = "rejected"
    """Void, since it was made against another version."""

    INVALID = "invalid"
    """Not appended, since the change itself is wrong."""

    NOT_FOUND = "not-found"
    """Not appended, since what it names is unknown."""

    LOG_UNAVAILABLE = "log-unavailable"
    """Not appended, since the log did not take it."""

    UNKNOWN = "unknown"
    """Sent to the log without a reply; it may take effect yet."""
