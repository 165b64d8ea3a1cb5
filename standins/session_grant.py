"""The units granted to a stand-in target in one session."""

from __future__ import annotations


class SessionGrant:
    """
    The grant of one session.

    :param epochs: epoch of each granted unit, by unit id.
    :param expires_at: ``CLOCK_BOOTTIME`` at which the grant expires, in
        seconds.
    """

    __slots__ = ("epochs", "expires_at")

    def __init__(self, epochs: dict[int, int], expires_at: float) -> None:
        self.epochs = epochs
        self.expires_at = expires_at
