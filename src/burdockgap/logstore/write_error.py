"""The error of an append that was not confirmed."""

from __future__ import annotations

from enum import Enum


class WriteState(Enum):
    """Whether the record may be in the log."""

    NOT_WRITTEN = "not written"
    UNKNOWN = "unknown"


class WriteError:
    """
    Why an append did not succeed.

    :param state: whether the record may be in the log.
    :param reason: readable cause of the failure.
    """

    __slots__ = ("reason", "state")

    def __init__(self, state: WriteState, reason: str) -> None:
        self.state = state
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.state.value}: {self.reason}"

    def __repr__(self) -> str:
        return f"WriteError({self})"
