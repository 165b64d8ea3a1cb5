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

    :param table: what is known about each server.
    :param data_centre: this daemon's data centre.
    :param rng: source of random choices.
    """

    __slots__ = ("_data_centre", "_rng", "_table")

    def __init__(
        self,
        *,
        table: ServerTable,
        data_centre: str,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self._data_centre = data_centre
        self._rng = rng or random.Random()

    def choose(
        self, candidates: list[SessionEntry], *, spill_load: float
    ) -> SessionEntry:
        """
        Choose one of at least one candidates.

        :param spill_load: load from which a server of the own data
            centre comes first no longer.
        """
        near: list[SessionEntry] = []
        far: list[SessionEntry] = []
        for entry in candidates:
            is_near = entry.data_centre == self._data_centre
            (near if is_near else far).append(entry)
        if not near or not far:
            return self._better_of_two(candidates)
        return self._spill(
            self._better_of_two(near), self._better_of_two(far), spill_load
        )

    def _spill(
        self, near: SessionEntry, far: SessionEntry, spill_load: float
    ) -> SessionEntry:
        table = self._table
        if table.slowness_s(near) > _SPILL_FACTOR * table.slowness_s(far):
            return far
        if table.load_share(near) < spill_load:
            return near
        return far if table.cost(far) < table.cost(near) else near

    def _better_of_two(self, candidates: list[SessionEntry]) -> SessionEntry:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        # Small differences say nothing and would starve one of them.
        bar = _CLEARLY_LESS * self._table.cost(first)
        return second if self._table.cost(second) < bar else first
