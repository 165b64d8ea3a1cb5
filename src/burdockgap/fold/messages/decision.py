"""The outcome of a configuration change."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Decision(Message):
    """
    Whether a change was accepted; the same at every daemon.

    :param accepted: whether it took effect.
    :param reason: why it was rejected, "" if it was accepted.
    :param version: the configuration's version after the change.
    """

    __slots__ = ("accepted", "reason", "version")
    TAG = 43

    def __init__(self, *, accepted: bool, reason: str, version: int) -> None:
        self.accepted = accepted
        self.reason = reason
        self.version = version
