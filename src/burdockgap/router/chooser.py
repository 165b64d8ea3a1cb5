"""Choice of a server for an unkeyed request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.router.server_table import ServerTable

_SPILL_FACTOR = 3.0
_CLEARLY_LESS = 0.8


class Chooser:
    """
    Takes the better of two random servers, near ones first.

    The target beside this daemon is the first of the two whenever it is
    a candidate: a request to it saves a hop, and the time that a hop
    takes is part of the cost of the others.

    :param table: what is known about each server.
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
        Choose one of at least one candidates.

        :param spill_load: load from which a server of the own data
            centre comes first no longer.
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
        best = self._better_of_two(near, own)
        if best is None or not far:
            return best or self._two_of(far)
        return self._spill(best, self._two_of(far), spill_load)

    def _spill(
        self, near: SessionEntry, far: SessionEntry, spill_load: float
    ) -> SessionEntry:
        table = self._table
        if table.slowness_s(near) > _SPILL_FACTOR * table.slowness_s(far):
            return far
        if table.load_share(near) < spill_load:
            return near
        return far if table.cost(far) < table.cost(near) else near

    def _better_of_two(
        self, near: list[SessionEntry], own: SessionEntry | None
    ) -> SessionEntry | None:
        if own is None:
            return self._two_of(near) if near else None
        if not near:
            return own
        return self._better(own, self._rng.choice(near))

    def _two_of(self, entries: list[SessionEntry]) -> SessionEntry:
        if len(entries) == 1:
            return entries[0]
        first, second = self._rng.sample(entries, 2)
        return self._better(first, second)

    def _better(
        self, first: SessionEntry, second: SessionEntry
    ) -> SessionEntry:
        # Small differences say nothing and would starve one of them.
        bar = _CLEARLY_LESS * self._table.cost(first)
        return second if self._table.cost(second) < bar else first
