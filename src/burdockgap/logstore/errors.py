"""Exceptions that calls to the platform's log raise."""

from __future__ import annotations


class LogError(Exception):
    """A call to the log failed."""


class LogUnavailable(LogError):  # noqa: N818 - a state, not a fault
    """The log did not execute the call, so an append had no effect."""


class LogUncertain(LogError):  # noqa: N818 - a state, not a fault
    """No reply to an append, which may have taken effect."""


class LogTrimmed(LogError):  # noqa: N818 - a state, not a fault
    """The log no longer retains records that are still to be read."""
