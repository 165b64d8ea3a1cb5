"""Fits lines to the recorded results and plots them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

from measure.fit_specs import FIT_SPECS
from measure.recorder import RESULTS_FOLDER, Recorder, read_results
from measure.slope import Line

if TYPE_CHECKING:
    from matplotlib.axes import Axes

    from measure.slope import FitSpec

_SIZE_INCHES = (10.0, 4.5)
_Y_AXIS_HEADROOM_RATIO = 1.15
_DOTS_PER_INCH = 90


def fit_slopes(seed: int) -> None:
    """Record and plot each fit that has at least two points."""
    recorder = Recorder("slopes", seed)
    for spec in FIT_SPECS:
        results = read_results(spec.source, spec.step)
        points = spec.points(results)
        if len(points) < 2:
            print(f"{spec.name}: too few points, not fitted")
            continue
        line = Line(points)
        recorder.add(
            spec.name,
            of=spec.label,
            over=spec.size,
            points=[list(point) for point in points.items()],
            slope=line.slope,
            start=line.start,
            spread=line.spread,
            target=spec.target,
            at_target=line.at(spec.target),
            measured_versions=sorted(
                {result["version"] for result in results}
            ),
        )
        _plot(spec, points, line)


def _plot(spec: FitSpec, points: dict[float, float], line: Line) -> None:
    figure, (measured_axes, extrapolated_axes) = plt.subplots(
        1, 2, figsize=_SIZE_INCHES
    )
    measured_axes.set_title("measured")
    _draw(measured_axes, spec, points, line, max(points))
    extrapolated_axes.set_title(f"{line.slope:.3g} each + {line.start:.4g}")
    _draw(extrapolated_axes, spec, points, line, max(*points, spec.target))
    extrapolated = line.at(spec.target)
    extrapolated_axes.plot(
        [spec.target],
        [extrapolated],
        "x",
        label=f"worked out: {extrapolated:.4g}",
    )
    extrapolated_axes.legend(loc="lower right")
    measured_axes.set_ylabel(spec.label, wrap=True)
    figure.suptitle(spec.name)
    figure.tight_layout()
    figure.savefig(RESULTS_FOLDER / f"{spec.name}.png", dpi=_DOTS_PER_INCH)
    plt.close(figure)


def _draw(
    axes: Axes,
    spec: FitSpec,
    points: dict[float, float],
    line: Line,
    last_size: float,
) -> None:
    axes.plot(list(points), list(points.values()), "o", label="measured")
    line_sizes = [0.0, last_size]
    fitted = [line.at(size) for size in line_sizes]
    axes.plot(line_sizes, fitted, "--", label="fitted")
    axes.set_xlabel(spec.size)
    axes.set_ylim(0, _Y_AXIS_HEADROOM_RATIO * max(*points.values(), *fitted))
