"""Detection of lapses of the daemon's own leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from burdockgap.ownership.counters import LAPSES
from burdockgap.wire.ids import show_id

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.ownership.own_sessions import OwnSessions


class LeaseWatch:
    """
    Counts and logs leases that lapse while their session is live.

    :param sessions: this daemon's sessions.
    :param clock: source of elapsed time.
    """

    __slots__ = ("_clock", "_held", "_sessions")

    def __init__(self, sessions: OwnSessions, clock: Clock) -> None:
        self._sessions = sessions
        self._clock = clock
        self._held: set[int] = set()

    def check(self) -> None:
        """Compare the leases with their state at the last check."""
        now = self._clock.now()
        live = self._sessions.admitted()
        held = {s.session_id for s in live if s.is_held(now)}
        for session in live:
            name = show_id(session.session_id)
            if session.session_id in self._held - held:
                LAPSES.inc()
                logger.warning("the lease of session {} lapsed", name)
            elif session.session_id in held - self._held:
                logger.info("the lease of session {} is held", name)
        self._held = held
