"""Assignment of units to sessions with few moves."""

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
    Decides which units of one service get a new owner.

    :param table: the current assignment.
    :param roster: the sessions that may own units.
    :param weights: load of each unit in requests per second; a unit
        that is not listed has ``base_weight``.
    :param base_weight: lower bound of a unit's load.
    """

    __slots__ = (
        "_base_weight",
        "_loads",
        "_owned",
        "_roster",
        "_table",
        "_weights",
    )

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
        self._base_weight = base_weight
        self._owned = table.by_owner()
        self._loads = {
            session_id: self._base_weight
            * len(self._owned.get(session_id, ()))
            for session_id in roster.eligible
        }
        for unit, weight in weights.items():
            owner = table.owner(unit) if table.has_unit(unit) else 0
            if owner in self._loads:
                self._loads[owner] += max(weight - self._base_weight, 0.0)

    def required(self) -> list[Move]:
        """
        Return moves of the units whose owner is not eligible.

        Units without an owner are included. If the owner's process has
        a newer session, that session gets all units of the older one;
        otherwise the units go to the least loaded sessions.
        """
        if not self._loads:
            return []
        moves = []
        heap = [(load, session) for session, load in self._loads.items()]
        heapq.heapify(heap)
        for owner, units in sorted(self._owned.items()):
            if owner in self._loads:
                continue
            replacement = self._roster.replacement.get(owner)
            if replacement in self._loads:
                moves += self._hand_over(units, replacement)
            else:
                moves += self._spread(units, heap)
        return moves

    def improving(self, *, limit: float, max_moves: int) -> list[Move]:
        """
        Return moves that reduce the imbalance.

        :param limit: no moves are made while every load is between the
            mean divided by ``limit`` and the mean times ``limit``.
        :param max_moves: largest number of moves in one round.
        """
        moves: list[Move] = []
        if self._is_balanced(limit):
            return moves
        while len(moves) < max_moves:
            move = self._best_move()
            if move is None:
                break
            moves.append(move)
        return moves

    def imbalance(self) -> float:
        """Return the ratio of the largest load to the mean load."""
        mean = self._mean()
        return max(self._loads.values()) / mean if mean else 1.0

    def _mean(self) -> float:
        return sum(self._loads.values()) / max(len(self._loads), 1)

    def _is_balanced(self, limit: float) -> bool:
        """Tell whether all loads are within ``limit`` of the mean."""
        if not self._loads:
            return True
        mean = self._mean()
        highest = max(self._loads.values())
        lowest = min(self._loads.values())
        return highest <= limit * mean and lowest * limit >= mean

    def _weight(self, unit: int) -> float:
        return max(self._weights.get(unit, 0.0), self._base_weight)

    def _hand_over(self, units: list[int], replacement: int) -> list[Move]:
        return [Move(unit=unit, owner=replacement) for unit in units]

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
        """
        Move one unit from the most to the least loaded session.

        Takes the heaviest unit of at most half the load difference, so
        that the move cannot reverse the order of the two sessions.
        """
        most_loaded = max(self._loads, key=self._loads.__getitem__)
        least_loaded = min(self._loads, key=self._loads.__getitem__)
        max_weight = (self._loads[most_loaded] - self._loads[least_loaded]) / 2
        movable = self._owned.get(most_loaded, [])
        fitting = [
            unit for unit in movable if 0 < self._weight(unit) <= max_weight
        ]
        if not fitting:
            return None
        unit = max(fitting, key=self._weight)
        movable.remove(unit)
        self._loads[most_loaded] -= self._weight(unit)
        self._loads[least_loaded] += self._weight(unit)
        return Move(unit=unit, owner=least_loaded)
