"""The permission, with fencing tokens, that a target receives."""

from __future__ import annotations


class Grant:
    """
    Permission to run requests for units until the lease expires.

    While a daemon replaces its session, it sends grants for both the
    old and the new one. A grant for one session does not affect the
    grants for the other.

    :param session_id: the session that owns the units.
    :param lease_s: seconds from receipt that the permission lasts.
    :param epochs: fencing epoch of each granted unit; replaces the set
        that the target has for this session, ``None`` keeps that set.
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
