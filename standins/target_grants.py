"""The grants of a stand-in target, fenced by epoch."""

from __future__ import annotations

import time

from standins.session_grant import SessionGrant


def boottime() -> float:
    """Return ``CLOCK_BOOTTIME`` in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TargetGrants:
    """
    The granted units of each session, with their epochs.

    Several sessions can hold grants at a time, since a daemon that
    replaces its session has both for a while.

    :param checks: whether work without a grant is rejected.
    """

    __slots__ = ("_by_session", "_highest_epochs", "checks")

    def __init__(self, *, checks: bool) -> None:
        self.checks = checks
        self._by_session: dict[int, SessionGrant] = {}
        self._highest_epochs: dict[int, int] = {}

    def apply_grant(
        self,
        *,
        session_id: int,
        epochs: dict[int, int] | None,
        expires_at: float,
    ) -> bool:
        """
        Apply a grant or renew one.

        :param session_id: the session that the grant belongs to.
        :param epochs: epoch of each granted unit, ``None`` to renew the
            session's grant unchanged.
        :param expires_at: ``CLOCK_BOOTTIME`` of the expiry, in seconds.
        :return: ``False`` if an epoch is lower than one granted before
            for the same unit, or if there is no grant to renew.
        """
        self._drop_expired()
        if epochs is None:
            grant = self._by_session.get(session_id)
            if grant is None:
                return False
            grant.expires_at = expires_at
            return True
        if any(
            epoch < self._highest_epochs.get(unit, 0)
            for unit, epoch in epochs.items()
        ):
            return False
        self._highest_epochs.update(epochs)
        self._by_session[session_id] = SessionGrant(epochs, expires_at)
        return True

    def allows(self, unit: int | None, epoch: int) -> bool:
        """
        Return whether work on a unit may take effect now.

        Always true for unkeyed work (no unit) and if grants are not
        checked.
        """
        if not self.checks or unit is None:
            return True
        if epoch < self._highest_epochs.get(unit, 0):
            return False
        now = boottime()
        return any(
            grant.epochs.get(unit) == epoch and now < grant.expires_at
            for grant in self._by_session.values()
        )

    def _drop_expired(self) -> None:
        now = boottime()
        for session_id, grant in list(self._by_session.items()):
            if grant.expires_at < now:
                del self._by_session[session_id]
