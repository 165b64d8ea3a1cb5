"""Placement of units with as few moves as the imbalance allows."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from burdockgap.coordinator.move import Move

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockgap.coordinator.roster import Roster
    from burdockgap.fold.unit_table import UnitTable


class Balancer:
    """
    Decides which units of one service move.

    :param table: the current assignment.
    :param roster: who may own units.
    :param weights: load of each unit; a unit that is not listed weighs
        ``base_weight``.
    :param base_weight: load that every unit is taken to have at least.
    """

    __slots__ = ("_base", "_loads", "_owned", "_roster", "_table", "_weights")

    def __init__(
        self,
        *,
        table: UnitTable,
        roster: Roster,
        weights: Mapping[int, float],
        base_weight: float,
    ) -> None:
        self._table = table
        self._roster = roster
        self._weights = weights
        self._base = base_weight
        self._owned = table.by_owner()
        self._loads = {
            session_id: self._base * len(self._owned.get(session_id, ()))
            for session_id in roster.eligible
        }
        for unit, weight in weights.items():
            owner = table.owner(unit) if table.has_unit(unit) else 0
            if owner in self._loads:
                self._loads[owner] += max(weight - self._base, 0.0)

    def required(self) -> list[Move]:
        """
        Return moves of units whose owner may not keep them.

        A daemon's newer session takes over all units of its older one.
        """
        if not self._loads:
            return []
        moves = []
        heap = [(load, session) for session, load in self._loads.items()]
        heapq.heapify(heap)
        for owner, units in sorted(self._owned.items()):
            if owner in self._loads:
                continue
            heir = self._roster.replacement.get(owner)
            if heir in self._loads:
                moves += self._hand_over(units, heir)
            else:
                moves += self._spread(units, heap)
        return moves

    def improving(self, *, limit: float, max_moves: int) -> list[Move]:
        """
        Return moves that lower the imbalance.

        :param limit: ratio of a load to the mean, either way, that is
            left alone.
        :param max_moves: cap on the moves of one round.
        """
        moves: list[Move] = []
        if self._is_even(limit):
            return moves
        while len(moves) < max_moves:
            move = self._best_move()
            if move is None:
                break
            moves.append(move)
        return moves

    def imbalance(self) -> float:
        """Return the largest load over the mean load, at least 1."""
        mean = self._mean()
        return max(self._loads.values()) / mean if mean else 1.0

    def _mean(self) -> float:
        return sum(self._loads.values()) / max(len(self._loads), 1)

    def _is_even(self, limit: float) -> bool:
        """Tell whether no session stands out, above or below."""
        if not self._loads:
            return True
        mean = self._mean()
        highest = max(self._loads.values())
        lowest = min(self._loads.values())
        return highest <= limit * mean and lowest * limit >= mean

    def _weight(self, unit: int) -> float:
        return max(self._weights.get(unit, 0.0), self._base)

    def _hand_over(self, units: list[int], heir: int) -> list[Move]:
        return [Move(unit=unit, owner=heir) for unit in units]

    def _spread(
        self, units: list[int], heap: list[tuple[float, int]]
    ) -> list[Move]:
        moves = []
        for unit in sorted(units, key=self._weight, reverse=True):
            load, session = heapq.heappop(heap)
            heapq.heappush(heap, (load + self._weight(unit), session))
            self._loads[session] += self._weight(unit)
            moves.append(Move(unit=unit, owner=session))
        return moves

    def _best_move(self) -> Move | None:
        """Take the unit that evens out the extremes best."""
        busiest = max(self._loads, key=self._loads.__getitem__)
        idlest = min(self._loads, key=self._loads.__getitem__)
        wanted = (self._loads[busiest] - self._loads[idlest]) / 2
        movable = self._owned.get(busiest, [])
        fitting = [
            unit for unit in movable if 0 < self._weight(unit) <= wanted
        ]
        if not fitting:
            return None
        unit = max(fitting, key=self._weight)
        movable.remove(unit)
        self._loads[busiest] -= self._weight(unit)
        self._loads[idlest] += self._weight(unit)
        return Move(unit=unit, owner=idlest)
