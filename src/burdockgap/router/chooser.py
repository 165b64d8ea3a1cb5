"""Load balancing of unkeyed requests."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.router.server_table import ServerTable

_SPILL_LATENCY_RATIO = 3.0
_SWITCH_COST_RATIO = 0.8


class Chooser:
    """
    Chooses the better of two random servers, preferring near ones.

    A near server is in this daemon's data centre, a far one is not. The
    target of this daemon, if it is a candidate, is always one of the
    two: a request to it saves a network hop, whose latency is part of
    the cost of the other servers.

    :param table: statistics of the servers.
    :param data_centre: this daemon's data centre.
    :param incarnation: id of this process run.
    :param rng: source of random choices.
    """

    __slots__ = ("_data_centre", "_incarnation", "_rng", "_table")

    def __init__(
        self,
        *,
        table: ServerTable,
        data_centre: str,
        incarnation: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._rng = rng or random.Random()

    def choose(
        self, candidates: list[SessionEntry], *, spill_load: float
    ) -> SessionEntry:
        """
        Choose the server for one attempt.

        :param candidates: sessions of the servers, at least one.
        :param spill_load: share of a near server's limit from which far
            servers compete with it by cost.
        """
        own: SessionEntry | None = None
        near: list[SessionEntry] = []
        far: list[SessionEntry] = []
        for entry in candidates:
            if entry.incarnation == self._incarnation:
                own = entry
            elif entry.data_centre == self._data_centre:
                near.append(entry)
            else:
                far.append(entry)
        best = self._best_near(near, own)
        if best is None or not far:
            return best or self._better_of_sample(far)
        return self._near_or_far(best, self._better_of_sample(far), spill_load)

    def _near_or_far(
        self, near: SessionEntry, far: SessionEntry, spill_load: float
    ) -> SessionEntry:
        table = self._table
        if table.penalized_latency_s(
            near
        ) > _SPILL_LATENCY_RATIO * table.penalized_latency_s(far):
            return far
        if table.load_share(near) < spill_load:
            return near
        return far if table.cost(far) < table.cost(near) else near

    def _best_near(
        self, near: list[SessionEntry], own: SessionEntry | None
    ) -> SessionEntry | None:
        if own is None:
            return self._better_of_sample(near) if near else None
        if not near:
            return own
        return self._better(own, self._rng.choice(near))

    def _better_of_sample(self, entries: list[SessionEntry]) -> SessionEntry:
        if len(entries) == 1:
            return entries[0]
        first, second = self._rng.sample(entries, 2)
        return self._better(first, second)

    def _better(
        self, first: SessionEntry, second: SessionEntry
    ) -> SessionEntry:
        # Small cost differences are noise; following them would starve
        # one of the two servers.
        max_cost = _SWITCH_COST_RATIO * self._table.cost(first)
        return second if self._table.cost(second) < max_cost else first
