"""Exit codes of the program."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says; the numbers never change."""

    OK = 0
    """Done; a change is in force."""

    REJECTED = 1
    """The change was rejected and is not in force."""

    BAD_INPUT = 2
    """An argument, a file or a value is wrong; nothing was done."""

    UNREACHABLE = 3
    """The daemon or the log took no request; nothing was done."""

    NOT_AUTHORISED = 4
    """The token is missing or wrong."""

    NOT_FOUND = 5
    """What the command names is unknown."""

    OUTCOME_UNKNOWN = 6
    """The change may or may not take effect; see the audit trail."""
