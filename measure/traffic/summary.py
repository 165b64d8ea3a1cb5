"""Counts and latency percentiles of answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from measure.traffic.answer import Answer

_MS_PER_S = 1000.0


def summarize(answers: Sequence[Answer]) -> dict[str, float]:
    """
    Return counts by outcome, and latencies in milliseconds.

    Latencies are of successes and, apart, of refusals that didn't run.
    """
    good = [answer for answer in answers if answer.is_success]
    refused = [answer for answer in answers if answer.verdict == "not-run"]
    times = sorted(answer.elapsed_s for answer in good)
    refusal_times = sorted(answer.elapsed_s for answer in refused)
    return {
        "sent": len(answers),
        "good": len(good),
        "not_run": len(refused),
        "other": len(answers) - len(good) - len(refused),
        "p50_ms": percentile_ms(times, 0.50),
        "p99_ms": percentile_ms(times, 0.99),
        "p999_ms": percentile_ms(times, 0.999),
        "refusal_p50_ms": percentile_ms(refusal_times, 0.50),
        "refusal_p99_ms": percentile_ms(refusal_times, 0.99),
    }


def percentile_ms(times: Sequence[float], share: float) -> float:
    """
    Return a percentile in milliseconds, 0 without times.

    :param times: times in seconds, in ascending order.
    :param share: the percentile, from 0 to 1.
    """
    if not times:
        return 0.0
    return times[min(int(len(times) * share), len(times) - 1)] * _MS_PER_S
