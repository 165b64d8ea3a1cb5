"""The end of a caller's connection before its request was whole."""

from __future__ import annotations


class CallerGone(Exception):  # noqa: N818 - a state, not a fault
    """The caller closed the connection or stopped sending."""
