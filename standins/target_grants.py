"""The fenced grants that a stand-in target holds."""

from __future__ import annotations

import time

from standins.session_grant import SessionGrant


def boottime() -> float:
    """Return ``CLOCK_BOOTTIME`` in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TargetGrants:
    """
    Epochs of the granted units of each session.

    A daemon has two sessions for a while when it replaces one.

    :param checks: whether work without a grant is refused.
    """

    __slots__ = ("_by_session", "_seen", "checks")

    def __init__(self, *, checks: bool) -> None:
        self.checks = checks
        self._by_session: dict[int, SessionGrant] = {}
        self._seen: dict[int, int] = {}

    def apply(
        self,
        *,
        session_id: int,
        epochs: dict[int, int] | None,
        expires_at: float,
    ) -> bool:
        """Take a grant; ``False`` if it is outdated or unknown."""
        self._forget_expired()
        if epochs is None:
            known = self._by_session.get(session_id)
            if known is None:
                return False
            known.expires_at = expires_at
            return True
        if any(epoch < self._seen.get(u, 0) for u, epoch in epochs.items()):
            return False
        self._seen.update(epochs)
        self._by_session[session_id] = SessionGrant(epochs, expires_at)
        return True

    def allows(self, unit: int | None, epoch: int) -> bool:
        """Tell whether work on a unit may take effect now."""
        if not self.checks or unit is None:
            return True
        if epoch < self._seen.get(unit, 0):
            return False
        now = boottime()
        return any(
            grant.epochs.get(unit) == epoch and now < grant.expires_at
            for grant in self._by_session.values()
        )

    def _forget_expired(self) -> None:
        now = boottime()
        for session_id, grant in list(self._by_session.items()):
            if grant.expires_at < now:
                del self._by_session[session_id]
