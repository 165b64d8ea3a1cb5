"""A dispatch permit that lasts as long as its session's lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.ownership.own_session import OwnSession


class LeasePermit:
    """
    A permit under the leases of one or more sessions.

    :param unit: the unit of a keyed request, else ``None``.
    :param epoch: the unit's epoch, zero for unkeyed requests.
    :param sessions: returns the sessions to consider; the lease that
        ends last counts.
    :param margin_s: how much earlier than the lease the permit ends.
    """

    __slots__ = ("_latest_expiry", "_margin_s", "_sessions", "epoch", "unit")

    def __init__(
        self,
        *,
        unit: int | None,
        epoch: int,
        sessions: Callable[[], list[OwnSession]],
        margin_s: float,
    ) -> None:
        self.unit = unit
        self.epoch = epoch
        self._sessions = sessions
        self._margin_s = margin_s
        self._latest_expiry = float("-inf")

    @property
    def expires_at(self) -> float:
        """
        Clock time at which the permit ends.

        It follows the renewals of the leases and is kept when a session
        ends.
        """
        for session in self._sessions():
            if session.lease is not None:
                self._latest_expiry = max(
                    self._latest_expiry, session.lease.expires_at()
                )
        return self._latest_expiry - self._margin_s

    def hand_over(self, session: OwnSession) -> None:
        """Use the lease of another session from now on."""
        self._latest_expiry = float("-inf")
        self._sessions = lambda: [session]
