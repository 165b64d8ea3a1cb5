"""Reasons of targets that have no room for a call."""

from burdockgap.verdict import Reason

NO_ROOM_REASONS = frozenset(
    {
        Reason.LINK_FULL,
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.RATE_LIMITED,
    }
)
"""The target has no room. Not retried for a key: it has one owner, so
no other target can serve it."""
