"""What this router has seen of all servers."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from burdockgap.router.server_stats import ServerStats

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.records.session_entry import SessionEntry

_LATENCY_FLOOR_S = 0.001
_STRAGGLER_FACTOR = 3.0


class ServerTable:
    """
    Statistics of each server, by its process run.

    :param clock: source of elapsed time.
    """

    __slots__ = ("_by_incarnation", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_incarnation: dict[int, ServerStats] = {}

    def stats(self, entry: SessionEntry) -> ServerStats:
        """Return the statistics of a server, empty for a new one."""
        return self._by_incarnation.setdefault(
            entry.incarnation, ServerStats()
        )

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
        now = self._clock.now()
        return self.stats(entry).cost(now, _LATENCY_FLOOR_S)

    def is_straggler(
        self, entry: SessionEntry, others: list[SessionEntry]
    ) -> bool:
        """Tell whether a server is much slower than the median."""
        median_s = statistics.median(
            max(self.stats(other).latency_s, _LATENCY_FLOOR_S)
            for other in others
        )
        return self.stats(entry).latency_s > _STRAGGLER_FACTOR * median_s

    def keep(self, incarnations: set[int]) -> None:
        """Forget all other servers."""
        for gone in set(self._by_incarnation) - incarnations:
            del self._by_incarnation[gone]
