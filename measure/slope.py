"""One straight line through measured points."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Any

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_LOAD_AVERAGE = 20.0
"""Load above which twice as much wants to run as the cores can do."""


class FitSpec:
    """
    A figure as a function of one size.

    :param name: name of the plot and of the result.
    :param source: file of results.
    :param step: the results' step.
    :param size: the size that grows.
    :param figure: returns the figure of one result.
    :param label: the figure and its unit.
    :param target: the size to work out the figure for.
    :param where: further sizes that the results must have.
    """

    __slots__ = (
        "figure",
        "label",
        "name",
        "size",
        "source",
        "step",
        "target",
        "where",
    )

    def __init__(
        self,
        *,
        name: str,
        source: str,
        step: str,
        size: str,
        figure: Callable[[dict[str, Any]], float],
        label: str,
        target: float,
        where: dict[str, int] | None = None,
    ) -> None:
        self.name = name
        self.source = source
        self.step = step
        self.size = size
        self.figure = figure
        self.label = label
        self.target = target
        self.where = where or {}

    def points(self, results: list[dict[str, Any]]) -> dict[float, float]:
        """
        Return the median of the figure at each size.

        Results of an overloaded machine are left out.
        """
        figures_by_size: dict[float, list[float]] = {}
        for result in results:
            if result["load1"] > _MAX_LOAD_AVERAGE:
                continue
            if all(result[key] == self.where[key] for key in self.where):
                figures_by_size.setdefault(result[self.size], []).append(
                    self.figure(result)
                )
        return {
            size: statistics.median(figures)
            for size, figures in sorted(figures_by_size.items())
        }


class Line:
    """
    The least-squares line through points.

    :ivar slope: change of the figure with one more of the size.
    :ivar start: the figure at size 0.
    :ivar spread: largest distance of a point from the line.
    """

    __slots__ = ("slope", "spread", "start")

    def __init__(self, points: dict[float, float]) -> None:
        sizes = np.array(list(points))
        figures = np.array(list(points.values()))
        slope, start = np.polyfit(sizes, figures, 1)
        self.slope = float(slope)
        self.start = float(start)
        self.spread = float(
            np.max(np.abs(figures - (self.slope * sizes + self.start)))
        )

    def at(self, size: float) -> float:
        """Return the figure that the line gives for a size."""
        return self.slope * size + self.start
