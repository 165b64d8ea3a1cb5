"""Choice of a server for an unkeyed request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.router.server_table import ServerTable

_PROBE_SHARE = 0.02


class Chooser:
    """
    Takes the better of two random servers, near ones first.

    A small share of the requests goes to one random server, so that a
    server that was slow is measured again.

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
        self,
        candidates: list[SessionEntry],
        *,
        spill_load: float,
        idempotent: bool,
    ) -> SessionEntry:
        """
        Choose one of at least one candidates.

        :param spill_load: reported load from which servers of the own
            data centre no longer come first.
        :param idempotent: only such requests are used as probes.
        """
        if idempotent and self._rng.random() < _PROBE_SHARE:
            return self._rng.choice(candidates)
        near = [
            entry
            for entry in candidates
            if entry.data_centre == self._data_centre
            and self._table.stats(entry).reported_load < spill_load
            and not self._table.is_straggler(entry, candidates)
        ]
        return self._better_of_two(near or candidates)

    def _better_of_two(self, candidates: list[SessionEntry]) -> SessionEntry:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        if self._table.cost(second) < self._table.cost(first):
            return second
        return first
