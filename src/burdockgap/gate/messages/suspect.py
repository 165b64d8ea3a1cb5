"""A request that was in flight when targets crashed."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Suspect(Message):
    """
    The crashes that one fingerprint was part of.

    :param fingerprint: the request's fingerprint.
    :param crashes: ids of the crashes.
    :param age_s: seconds since the newest of them.
    """

    __slots__ = ("fingerprint", "crashes", "age_s")
    TAG = 60

    def __init__(
        self, *, fingerprint: int, crashes: list[int], age_s: float
    ) -> None:
        self.fingerprint = fingerprint
        self.crashes = crashes
        self.age_s = age_s
