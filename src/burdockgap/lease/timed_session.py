"""One session as a witness times it."""

from __future__ import annotations

_FAST_PUSHES = 6
_FAST_PUSH_S = 0.3
_SLOW_PUSH_S = 2.0


class TimedSession:
    """
    The time left of one session at one witness.

    :param session_id: the session.
    :param incarnation: the named witness that is answered for.
    :param expires_at: clock time of the promise.
    :param renewable: whether renewals are acknowledged at all.
    :ivar promised: whether the promise has been made; it is final.
    :ivar seq: number of the newest renewal.
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
        """Make the promise if it is due; ``True`` if it is new."""
        if self.promised or now < self.expires_at:
            return False
        self.promised = True
        self.next_push_at = now
        return True

    def renew(self, seq: int, expires_at: float) -> bool:
        """Take in a renewal; ``False`` if it does not count."""
        if self.promised or not self.renewable or seq <= self.seq:
            return False
        self.seq = seq
        self.expires_at = expires_at
        return True

    def pushed(self, now: float) -> None:
        """Note that the promise was pushed."""
        self._pushes += 1
        fast = self._pushes < _FAST_PUSHES
        self.next_push_at = now + (_FAST_PUSH_S if fast else _SLOW_PUSH_S)

    def due_at(self) -> float:
        """Return the clock time of the next thing to do."""
        return self.next_push_at if self.promised else self.expires_at
