"""A request that was in flight when targets crashed."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Suspect(Message):
    """
    The crashes at which one fingerprint was in flight.

    :param fingerprint: the request's fingerprint.
    :param crashes: ids of these crashes; none if the request got a
        complete response and is no suspect any more.
    :param age_s: seconds since the latest of these crashes, or since
        the response.
    """

    __slots__ = ("fingerprint", "crashes", "age_s")
    TAG = 60

    def __init__(
        self, *, fingerprint: int, crashes: list[int], age_s: float
    ) -> None:
        self.fingerprint = fingerprint
        self.crashes = crashes
        self.age_s = age_s
