"""The fenced grants that a stand-in target holds."""

from __future__ import annotations

import time


def boottime() -> float:
    """Return ``CLOCK_BOOTTIME`` in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TargetGrants:
    """
    Epochs of the granted units and the end of the lease.

    :param checks: whether work without a grant is refused.
    """

    __slots__ = ("_epochs", "_expires_at", "_seen", "_session_id", "checks")

    def __init__(self, *, checks: bool) -> None:
        self.checks = checks
        self._epochs: dict[int, int] = {}
        self._seen: dict[int, int] = {}
        self._session_id = 0
        self._expires_at = 0.0

    def take(
        self,
        *,
        session_id: int,
        epochs: dict[int, int] | None,
        expires_at: float,
    ) -> bool:
        """Take a grant; ``False`` if an epoch is outdated."""
        if epochs is None:
            if session_id != self._session_id:
                return False
        elif any(epoch < self._seen.get(u, 0) for u, epoch in epochs.items()):
            return False
        else:
            self._epochs = epochs
            self._seen.update(epochs)
        self._session_id = session_id
        self._expires_at = expires_at
        return True

    def allows(self, unit: int | None, epoch: int) -> bool:
        """Tell whether work on a unit may take effect now."""
        if not self.checks or unit is None:
            return True
        if epoch < self._seen.get(unit, 0):
            return False
        if self._epochs.get(unit) != epoch:
            return False
        return boottime() < self._expires_at
