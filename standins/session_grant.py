"""What a stand-in target was granted for one session."""

from __future__ import annotations


class SessionGrant:
    """
    The grant of one session.

    :param epochs: epoch of each granted unit.
    :param expires_at: clock time at which it ends.
    """

    __slots__ = ("epochs", "expires_at")

    def __init__(self, epochs: dict[int, int], expires_at: float) -> None:
        self.epochs = epochs
        self.expires_at = expires_at
