"""Statistics of all servers, as observed by this router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.router.server_stats import ServerStats
from burdockgap.router.typical_latency import TypicalLatency

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.records.session_entry import SessionEntry


class ServerTable:
    """
    Statistics of each server, by incarnation.

    :param clock: source of elapsed time.
    """

    __slots__ = ("_by_incarnation", "_clock", "_typical")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_incarnation: dict[int, ServerStats] = {}
        self._typical: dict[str, TypicalLatency] = {}

    def stats(self, entry: SessionEntry) -> ServerStats:
        """Return the statistics of a server, created if missing."""
        stats = self._by_incarnation.get(entry.incarnation)
        if stats is None:
            stats = self._by_incarnation[entry.incarnation] = ServerStats(
                clock=self._clock,
                typical=self._typical_of(entry.service),
                limit=entry.slots,
            )
        return stats

    def reachable_first(
        self, entries: list[SessionEntry]
    ) -> list[SessionEntry]:
        """Return the servers, recently unreachable ones last."""
        return sorted(entries, key=self.recently_unreachable)

    def recently_unreachable(self, entry: SessionEntry) -> bool:
        """Tell whether a server was unreachable a short time ago."""
        return self.stats(entry).recently_unreachable(self._clock.now())

    def cost(self, entry: SessionEntry) -> float:
        """Return the expected cost of one more request."""
        return self.stats(entry).cost(self._clock.now())

    def penalized_latency_s(self, entry: SessionEntry) -> float:
        """Return the latency, increased after a recent failure."""
        return self.stats(entry).penalized_latency_s(self._clock.now())

    def load_share(self, entry: SessionEntry) -> float:
        """Return the requests in flight as a share of the limit."""
        return self.stats(entry).load_share(self._clock.now())

    def keep(self, incarnations: set[int]) -> None:
        """Remove the statistics of all other servers."""
        for removed in set(self._by_incarnation) - incarnations:
            del self._by_incarnation[removed]

    def _typical_of(self, service: str) -> TypicalLatency:
        return self._typical.setdefault(service, TypicalLatency())
