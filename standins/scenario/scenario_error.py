"""Errors of scenarios: syntax errors and failed statements."""

from __future__ import annotations


class ScenarioError(Exception):
    """
    A line that does not parse or a statement that failed.

    :param file: path of the scenario's file.
    :param line: the line number, from 1.
    :param reason: what is wrong.
    """

    def __init__(self, file: str, line: int, reason: str) -> None:
        super().__init__(f"{file}:{line}: {reason}")
        self.file = file
        self.line = line
        self.reason = reason


class StatementFailedError(Exception):
    """An expectation is not met, or a statement can't be executed."""
