"""
One daemon's tokens of an account, and their movement between daemons.

Load: an account whose limit is small in comparison with the number of
daemons, with demand that is concentrated or moves. An equal share would
refuse nearly all of it; a request takes a token from wherever there is
one instead. Tokens are created by time and only ever moved: whoever
gives tokens away deducts them before the message is sent. Lost messages
and restarts therefore lose tokens and never multiply them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.scheduling.quota_limits import QuotaLimits

_DEMAND_WINDOW_S = 1.0
_KEEP_S = 0.5
"""Tokens for this long are kept for own clients, at most."""
_WORTH_SENDING = 0.5
"""Share of the local cap below which tokens are not passed on yet, so
that small accounts cause fewer messages."""
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.4
"""Time after which a daemon whose request for tokens was refused asks
again. It doubles with each refusal; at 89 daemons that makes at most
some 220 requests per second for an account above its limit."""
_MIN_RETURN_S = 0.25
_MAX_RETURN_S = 2.0
"""Earliest and latest time after which a refused client may return."""
_GOLDEN_RATIO = 0.618


class QuotaShare:
    """
    The tokens of one account at one daemon; one per request.

    Times are seconds of one clock.

    :param limits: what this daemon may create and keep.
    :param now: the current time.
    :param filled: whether to begin with as many tokens as may be kept.
        False for a daemon that has just started, since its predecessor
        may have spent them.
    :param holds: whether this daemon pools the account's tokens.
    """

    __slots__ = (
        "_demand_per_s",
        "_demanded_at",
        "_filled_at",
        "_local",
        "_pause_s",
        "_pause_until",
        "_pool",
        "_return_at",
        "_returned",
        "_spread",
        "limits",
    )

    def __init__(
        self,
        limits: QuotaLimits,
        now: float,
        *,
        filled: bool,
        holds: bool,
    ) -> None:
        self.limits = limits
        self._filled_at = now
        self._local = limits.local_cap if filled else 0.0
        self._pool = limits.pool_cap if filled and holds else 0.0
        self._returned = 0
        self._demand_per_s = 0.0
        self._demanded_at = now
        self._pause_s = _FIRST_PAUSE_S
        self._pause_until = now
        self._return_at = now
        self._spread = 0.0

    def change(self, limits: QuotaLimits, now: float) -> None:
        """Apply limits; tokens above the new ones are dropped."""
        self._refill(now)
        self.limits = limits
        self._local = min(self._local, limits.local_cap)
        self._pool = min(self._pool, limits.pool_cap)

    def take(self, now: float) -> bool:
        """Take a token of this daemon; return whether there was one."""
        self._note_demand(now)
        if self._returned:
            self._returned -= 1
            return True
        self._refill(now)
        if self._local < 1.0:
            return False
        self._local -= 1.0
        return True

    def give_back(self, count: int = 1) -> None:
        """Return tokens of requests that were not sent to a server."""
        self._returned += count

    def may_ask(self, now: float) -> bool:
        """Return whether to ask holders for tokens."""
        return now >= self._pause_until

    def note_reply(self, now: float, *, granted: bool) -> None:
        """Record whether the holders granted all requested tokens."""
        if granted:
            self._pause_s = _FIRST_PAUSE_S
            return
        self._pause_until = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, _MAX_PAUSE_S)

    def return_after_s(self, now: float) -> float:
        """
        Return when a refused client should return.

        Clients get different times, so that they do not return
        together: spaced by what this daemon creates while that leads to
        an early return, else spread over later times.
        """
        spacing_s = 1 / max(self.limits.created_per_s, 1 / _MAX_RETURN_S)
        booked_at = max(self._return_at + spacing_s, now + _MIN_RETURN_S)
        if booked_at < now + _MAX_RETURN_S / 2:
            self._return_at = booked_at
            return booked_at - now
        # Multiples of the golden ratio are spread evenly.
        self._spread = (self._spread + _GOLDEN_RATIO) % 1.0
        return _MAX_RETURN_S * (1 + self._spread) / 2

    def withdraw_surplus(self, now: float, *, holds: bool) -> float:
        """
        Remove and return the tokens that other daemons should have.

        Less than one token serves no request, so it is kept only if
        this daemon may keep a whole one. A former holder passes on its
        pool: pools of more daemons than intended would exceed the cap.

        :param holds: whether this daemon pools the account's tokens.
        """
        self._refill(now)
        keep = 0.0
        if self.limits.local_cap >= 1.0:
            self._decay_demand(now)
            keep = self._demand_per_s * _KEEP_S
        surplus = max(self._local - keep, 0.0)
        if surplus < self.limits.local_cap * _WORTH_SENDING:
            surplus = 0.0
        self._local -= surplus
        surplus += self._returned
        self._returned = 0
        if not holds:
            surplus += self._pool
            self._pool = 0.0
        return surplus

    def deposit(self, tokens: float) -> None:
        """Add tokens of another daemon to the pool held here."""
        self._pool = min(self._pool + tokens, self.limits.pool_cap)

    def lend(self, wanted: int) -> int:
        """Remove whole tokens from the pool; return their number."""
        granted = min(wanted, int(self._pool))
        self._pool -= granted
        return granted

    @property
    def pooled(self) -> float:
        """Tokens held here for all daemons."""
        return self._pool

    def _refill(self, now: float) -> None:
        created = max(now - self._filled_at, 0.0) * self.limits.created_per_s
        self._local = min(self._local + created, self.limits.local_cap)
        self._filled_at = now

    def _note_demand(self, now: float) -> None:
        self._decay_demand(now)
        self._demand_per_s += 1 / _DEMAND_WINDOW_S

    def _decay_demand(self, now: float) -> None:
        age_s = max(now - self._demanded_at, 0.0)
        self._demand_per_s *= max(1 - age_s / _DEMAND_WINDOW_S, 0.0)
        self._demanded_at = now
