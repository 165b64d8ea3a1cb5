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
    from measure.slope import Question

_SIZE_INCHES = (7.0, 4.5)
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
            measured_version=results[-1]["version"],
        )
        _plot(question, points, line)


def _plot(question: Question, points: dict[float, float], line: Line) -> None:
    figure, axes = plt.subplots(figsize=_SIZE_INCHES)
    axes.plot(list(points), list(points.values()), "o", label="measured")
    ends = [0.0, max(*points, question.target)]
    axes.plot(ends, [line.at(end) for end in ends], "--", label="fitted")
    axes.plot(
        [question.target],
        [line.at(question.target)],
        "x",
        label=f"worked out: {line.at(question.target):.4g}",
    )
    axes.set_xlabel(question.size)
    axes.set_ylabel(question.label, wrap=True)
    axes.set_title(
        f"{question.name}: {line.slope:.3g} each + {line.start:.3g}"
    )
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(FOLDER / f"{question.name}.png", dpi=_DOTS_PER_INCH)
    plt.close(figure)
