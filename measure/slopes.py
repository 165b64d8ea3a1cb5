"""Fits lines to the results and plots them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

from measure.questions import QUESTIONS
from measure.recorder import FOLDER, Recorder, read_results
from measure.slope import Line

if TYPE_CHECKING:
    from matplotlib.axes import Axes

    from measure.slope import Question

_SIZE_INCHES = (10.0, 4.5)
_HEADROOM = 1.15
_DOTS_PER_INCH = 90


def fit_slopes(seed: int) -> None:
    """Record and plot the slope of each question with points."""
    recorder = Recorder("slopes", seed)
    for question in QUESTIONS:
        results = read_results(question.source, question.step)
        points = question.points(results)
        if len(points) < 2:
            print(f"{question.name}: too few points, not fitted")
            continue
        line = Line(points)
        recorder.add(
            question.name,
            of=question.label,
            over=question.size,
            points=[list(point) for point in points.items()],
            slope=line.slope,
            start=line.start,
            spread=line.spread,
            target=question.target,
            at_target=line.at(question.target),
            measured_versions=sorted({one["version"] for one in results}),
        )
        _plot(question, points, line)


def _plot(question: Question, points: dict[float, float], line: Line) -> None:
    figure, (near, far) = plt.subplots(1, 2, figsize=_SIZE_INCHES)
    near.set_title("measured")
    _draw(near, question, points, line, max(points))
    far.set_title(f"{line.slope:.3g} each + {line.start:.4g}")
    _draw(far, question, points, line, max(*points, question.target))
    worked_out = line.at(question.target)
    far.plot(
        [question.target],
        [worked_out],
        "x",
        label=f"worked out: {worked_out:.4g}",
    )
    far.legend(loc="lower right")
    near.set_ylabel(question.label, wrap=True)
    figure.suptitle(question.name)
    figure.tight_layout()
    figure.savefig(FOLDER / f"{question.name}.png", dpi=_DOTS_PER_INCH)
    plt.close(figure)


def _draw(
    axes: Axes,
    question: Question,
    points: dict[float, float],
    line: Line,
    end: float,
) -> None:
    axes.plot(list(points), list(points.values()), "o", label="measured")
    ends = [0.0, end]
    drawn = [line.at(size) for size in ends]
    axes.plot(ends, drawn, "--", label="fitted")
    axes.set_xlabel(question.size)
    axes.set_ylim(0, _HEADROOM * max(*points.values(), *drawn))
