"""The exception for a caller that disconnects early."""

from __future__ import annotations


class CallerGone(Exception):  # noqa: N818 - a state, not a fault
    """The caller disconnected or stopped reading its response."""
