"""A witness's expiry timer of one session."""

from __future__ import annotations

_FAST_PUSHES = 6
_FAST_PUSH_INTERVAL_S = 0.3
_SLOW_PUSH_INTERVAL_S = 2.0


class TimedSession:
    """
    The expiry state of one session at one witness.

    :param session_id: the session.
    :param incarnation: the named incarnation of the witness.
    :param expires_at: clock time at which expiry is promised.
    :param renewable: whether renewals are acknowledged at all.
    :ivar promised: whether expiry has been promised; never reset.
    :ivar seq: sequence number of the newest renewal.
    :ivar next_push_at: clock time at which to push the promise.
    """

    __slots__ = (
        "_pushes",
        "expires_at",
        "incarnation",
        "next_push_at",
        "promised",
        "renewable",
        "seq",
        "session_id",
    )

    def __init__(
        self,
        *,
        session_id: int,
        incarnation: int,
        expires_at: float,
        renewable: bool,
    ) -> None:
        self.session_id = session_id
        self.incarnation = incarnation
        self.expires_at = expires_at
        self.renewable = renewable
        self.promised = False
        self.seq = 0
        self.next_push_at = expires_at
        self._pushes = 0

    def expire(self, now: float) -> bool:
        """Promise expiry if it is due; return whether that is new."""
        if self.promised or now < self.expires_at:
            return False
        self.promised = True
        self.next_push_at = now
        return True

    def renew(self, seq: int, expires_at: float) -> bool:
        """Apply a renewal; return ``False`` if it is ignored."""
        if self.promised or not self.renewable or seq <= self.seq:
            return False
        self.seq = seq
        self.expires_at = expires_at
        return True

    def record_push(self, now: float) -> None:
        """Record a push of the promise and schedule the next."""
        self._pushes += 1
        fast = self._pushes < _FAST_PUSHES
        self.next_push_at = now + (
            _FAST_PUSH_INTERVAL_S if fast else _SLOW_PUSH_INTERVAL_S
        )

    def due_at(self) -> float:
        """Return the clock time of the next push or of the expiry."""
        return self.next_push_at if self.promised else self.expires_at
