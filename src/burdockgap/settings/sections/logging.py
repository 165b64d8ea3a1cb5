"""Settings of the section ``[logging]``."""

from __future__ import annotations


class LoggingSettings:
    """
    Format and level of the log lines of the process.

    :param format: ``"text"`` or ``"json"``.
    :param level: least severe level that is written.
    """

    __slots__ = (
        "format",
        "level",
    )

    def __init__(self, *, format: str, level: str) -> None:
        self.format = format
        self.level = level
