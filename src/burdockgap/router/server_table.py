"""What this router has seen of all servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.router.server_stats import ServerStats
from burdockgap.router.typical_latency import TypicalLatency

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.records.session_entry import SessionEntry


class ServerTable:
    """
    Statistics of each server, by its process run.

    :param clock: source of elapsed time.
    """

    __slots__ = ("_by_incarnation", "_clock", "_typical")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_incarnation: dict[int, ServerStats] = {}
        self._typical: dict[str, TypicalLatency] = {}

    def stats(self, entry: SessionEntry) -> ServerStats:
        """Return the statistics of a server, empty for a new one."""
        known = self._by_incarnation.get(entry.incarnation)
        if known is None:
            known = self._by_incarnation[entry.incarnation] = ServerStats(
                clock=self._clock,
                typical=self._typical_of(entry.service),
                limit=entry.slots,
            )
        return known

    def reachable_first(
        self, entries: list[SessionEntry]
    ) -> list[SessionEntry]:
        """Return the same servers, those unreachable just now last."""
        now = self._clock.now()
        return sorted(
            entries, key=lambda entry: self.stats(entry).is_avoided(now)
        )

    def cost(self, entry: SessionEntry) -> float:
        """Return the expected cost of one more request."""
        return self.stats(entry).cost(self._clock.now())

    def slowness_s(self, entry: SessionEntry) -> float:
        """Return a server's latency, worse after a recent failure."""
        return self.stats(entry).slowness_s(self._clock.now())

    def load_share(self, entry: SessionEntry) -> float:
        """Return a server's load as a share of its limit."""
        return self.stats(entry).load_share(self._clock.now())

    def keep(self, incarnations: set[int]) -> None:
        """Forget all other servers."""
        for gone in set(self._by_incarnation) - incarnations:
            del self._by_incarnation[gone]

    def _typical_of(self, service: str) -> TypicalLatency:
        return self._typical.setdefault(service, TypicalLatency())
