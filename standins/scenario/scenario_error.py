"""A fault in a scenario's text, or an expectation that was not met."""

from __future__ import annotations


class ScenarioError(Exception):
    """
    A statement that is wrong or that failed.

    :param file: the scenario's file.
    :param line: the line number, from 1.
    :param reason: what is wrong.
    """

    def __init__(self, file: str, line: int, reason: str) -> None:
        super().__init__(f"{file}:{line}: {reason}")
        self.file = file
        self.line = line
        self.reason = reason


class StatementFailedError(Exception):
    """An expectation that does not hold or an impossible step."""
