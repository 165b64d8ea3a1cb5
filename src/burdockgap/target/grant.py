"""The fenced permission that a gate gives to its target."""

from __future__ import annotations


class Grant:
    """
    Permission to work on units until the lease ends.

    A daemon that replaces its session grants both for a while. What a
    target was granted for one session says nothing of the other.

    :param session_id: the session that owns the units.
    :param lease_s: seconds that the permission lasts from receipt.
    :param epochs: epoch of each granted unit; replaces the set that
        the target knew for this session, ``None`` leaves it as it is.
    """

    __slots__ = ("epochs", "lease_s", "session_id")

    def __init__(
        self,
        *,
        session_id: int,
        lease_s: float,
        epochs: dict[int, int] | None,
    ) -> None:
        self.session_id = session_id
        self.lease_s = lease_s
        self.epochs = epochs
