"""
How long a request may wait for a slot.

Addresses overload: a request that starts too late to be answered within
its latency objective takes a slot from one that would be.
"""

from __future__ import annotations

_UNREACHABLE_SHARE = 0.5
"""Share of the objective within which a request starts that would miss
its objective even without a wait, as its route takes longer."""
_RETURN_SHARE = 0.2
"""Share of the time that is not needed to run it in which a refused
request has to return; in the rest it may wait for a slot. In the
simulation at 1.6 of capacity, 3 slots served 0.55 of the requests in
time with it, 0.48 with 0.5 and 0.39 without a limit."""


def longest_wait_s(
    *,
    nested: bool,
    deadline_s: float,
    objective_s: float,
    mean_s: float,
    tail_s: float,
) -> float:
    """
    Return how long a request may wait, in seconds.

    A negative result means that it may only take a free slot.

    :param nested: whether a running request has made it.
    :param deadline_s: time left until its deadline.
    :param objective_s: time left of its latency objective.
    :param mean_s: mean service time of its route.
    :param tail_s: time that most requests of its route stay below.
    """
    by_deadline_s = deadline_s - mean_s
    if nested:
        return by_deadline_s
    if 0.0 < objective_s <= mean_s:
        return min(objective_s * _UNREACHABLE_SHARE, by_deadline_s)
    return min(objective_s - tail_s, by_deadline_s)


def latest_return_s(*, objective_s: float, tail_s: float) -> float:
    """
    Return after how many seconds a refused request may return at most.

    Whoever returns later is answered too late, and in place of a new
    request that could be answered in time.

    :param objective_s: time left of its latency objective.
    :param tail_s: time that most requests of its route stay below.
    """
    return max(objective_s - tail_s, 0.0) * _RETURN_SHARE
