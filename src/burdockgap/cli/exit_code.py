"""Exit codes of the program."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """The outcome of a command; the numbers never change."""

    OK = 0
    """Success; a change, if any, is in force."""

    REJECTED = 1
    """The change was rejected and is not in force."""

    BAD_INPUT = 2
    """An argument, a file or a value is wrong; nothing was done."""

    UNREACHABLE = 3
    """The daemon or the log accepted no request; nothing was done."""

    NOT_AUTHORISED = 4
    """The token is missing or wrong."""

    NOT_FOUND = 5
    """What the command names does not exist."""

    OUTCOME_UNKNOWN = 6
    """The change may or may not take effect; see the audit trail."""
