"""Errors of the platform's log."""

from __future__ import annotations


class LogError(Exception):
    """A call to the log that did not succeed."""


class LogUnavailable(LogError):  # noqa: N818 - a state, not a fault
    """The log did not take the call; an append had no effect."""


class LogUncertain(LogError):  # noqa: N818 - a state, not a fault
    """No reply to an append; it may or may not have taken effect."""


class LogTrimmed(LogError):  # noqa: N818 - a state, not a fault
    """The log has forgotten records that are needed to go on."""
