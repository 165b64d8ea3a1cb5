"""Fits a straight line to measured points."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Any

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_LOAD_AVERAGE = 20.0
"""Load average above which runnable tasks exceed twice the cores."""


class FitSpec:
    """
    Specifies a fit of one figure as a function of one size.

    :param name: name of the plot and of the result.
    :param source: name of the results file without its extension.
    :param step: step of the results to use.
    :param size: name of the size that varies.
    :param figure: computes the figure from one result.
    :param label: the figure and its unit.
    :param target: the size to extrapolate the figure to.
    :param where: values of other sizes that a result must have.
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

        Skips results that were recorded on an overloaded machine.
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
    Least-squares line through points.

    :param points: figure by size, two points or more.
    :ivar slope: change of the figure per unit of size.
    :ivar start: intercept, the figure at size 0.
    :ivar spread: largest absolute residual.
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
        """Return the line's figure for a size."""
        return self.slope * size + self.start
