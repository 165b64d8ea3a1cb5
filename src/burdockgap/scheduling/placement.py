"""
The choice of a request's server by load reports of different age.

Addresses servers of different speed that many daemons choose among at
the same time: a report is worth less with age, servers are drawn in
proportion to their capacity, and a refusal counts until the server is
expected to have room.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from burdockgap.scheduling.candidate import Candidate

_PREFERENCE = 1.0
"""Exponent of the cost, in mean service times, in a server's weight.
With 4, daemons choose the same servers by the same reports: at 40
servers with 3 slots and 0.8 load there were 47 refusals per 100
requests, against 23 with 1."""
_RETRY_PREFERENCE = 2.0
"""The same for a further attempt, for which another refusal costs a
round trip. With 4, further attempts met 5.5 refusals per 100 requests,
against 3.2 with 2 (first attempts with 2 in both trials)."""
_SLOWNESS_TIME_S = 0.4
"""Time after which a reported slowness has mostly ended. According to
the servers' users, the other work that slows a server down changes
about this often."""
_LASTING_SLOWNESS = 3.0
_LASTING_TIME_S = 3.0
"""A slowness from 3 on, learned from several requests in
``concurrency_limit.py``, lasts for seconds, unlike that of other work.
With 2.5, other work counted as lasting: one of 40 servers got 0.74 of
what its speed deserves, against 0.86."""
_CONTENTION_SHARE = 0.5
"""Relative increase of the service time when all slots are in use."""
_MIN_SERVICE_S = 1e-4
"""Bounds the weight of a server that reports a service time near 0."""


def choose(
    candidates: Sequence[Candidate], rng: Random, *, retry: bool = False
) -> Candidate | None:
    """
    Return the server for a request, ``None`` if there is no candidate.

    A server is drawn in proportion to its capacity, less often the
    higher its expected cost is. The best one by the reports would be
    chosen by all daemons until the next report.

    :param rng: source of random numbers.
    :param retry: whether an earlier attempt was refused; the servers
        with known room are preferred then, as another refusal costs a
        round trip.
    """
    if not candidates:
        return None
    mean_s = mean_service_s(candidates)
    free = [item for item in candidates if item.full_s <= 0] or candidates
    preference = _PREFERENCE
    if retry:
        preference = _RETRY_PREFERENCE
        free = [item for item in free if _has_room(item, mean_s)] or free
    costs = [cost_s(item, mean_s) / mean_s for item in free]
    least = min(costs)
    weights = [
        _capacity(item, mean_s) * math.exp(preference * (least - cost))
        for item, cost in zip(free, costs, strict=True)
    ]
    return rng.choices(free, weights)[0]


def mean_service_s(candidates: Sequence[Candidate]) -> float:
    """
    Return the mean service time of the servers that have run a request.

    If none has, all servers are equal and any time gives the same
    choice.
    """
    known = [item.service_s for item in candidates if item.service_s > 0]
    return max(sum(known) / len(known), _MIN_SERVICE_S) if known else 1.0


def wait_s(candidate: Candidate, mean_s: float) -> float:
    """
    Return the expected wait for a slot, in seconds.

    An old report of some room counts less than a new one, as the number
    of running requests is uncertain by then.

    :param mean_s: mean service time of the service's servers, which
        counts for a server that has run no request.
    """
    work, deviation = _work(candidate, mean_s)
    excess = _mean_excess(work + 1 - candidate.slots, deviation)
    service_s = _service_s(candidate, mean_s)
    return candidate.rate_wait_s + excess / candidate.slots * service_s


def cost_s(candidate: Candidate, mean_s: float) -> float:
    """
    Return the expected cost of a request at a server, in seconds.

    The service time counts only as far as it is longer than usual at
    the server: the draw has taken its speed into account already.

    :param mean_s: mean service time of the service's servers.
    """
    service_s = _service_s(candidate, mean_s)
    usual_s = candidate.service_s or mean_s
    work, _ = _work(candidate, mean_s)
    busy = min(work / candidate.slots, 1.0)
    return (
        wait_s(candidate, mean_s)
        + service_s
        - usual_s
        + _CONTENTION_SHARE * busy * mean_s
        + candidate.distance_s
        + candidate.uplink_s
        + candidate.downlink_s
        + candidate.full_s
    )


def latency_s(candidate: Candidate, mean_s: float) -> float:
    """Return the expected wait and service time, in seconds."""
    return wait_s(candidate, mean_s) + _service_s(candidate, mean_s)


def full_time_s(
    *, work: int, slots: int, service_s: float, slowness: float
) -> float:
    """
    Return how long a server that refused a request has no room.

    :param work: requests running and queued at the refusal.
    """
    slots = max(slots, 1)
    return max(work + 1 - slots, 1) / slots * service_s * max(slowness, 1.0)


def _work(candidate: Candidate, mean_s: float) -> tuple[float, float]:
    """
    Return the mean and deviation of the requests at a server now.

    Requests of the report have ended since with a probability that
    grows with the report's age, and others have taken their place.
    """
    kept = math.exp(-candidate.age_s / _service_s(candidate, mean_s))
    replaced = candidate.mean_work * (1 - kept)
    work = candidate.work * kept + replaced + candidate.own_calls
    return work, math.sqrt(candidate.work * kept * (1 - kept) + replaced)


def _service_s(candidate: Candidate, mean_s: float) -> float:
    """Return the service time that is expected now, in seconds."""
    lasting = candidate.slowness >= _LASTING_SLOWNESS
    lasts_s = _LASTING_TIME_S if lasting else _SLOWNESS_TIME_S
    fresh = math.exp(-candidate.age_s / lasts_s)
    slowness = max(1 + (candidate.slowness - 1) * fresh, 0.1)
    return max((candidate.service_s or mean_s) * slowness, _MIN_SERVICE_S)


def _mean_excess(mean: float, deviation: float) -> float:
    """Return the mean of the positive part of a normal distribution."""
    if deviation < 1e-9:
        return max(mean, 0.0)
    ratio = mean / deviation
    density = math.exp(-ratio * ratio / 2) / math.sqrt(2 * math.pi)
    above = (1 + math.erf(ratio / math.sqrt(2))) / 2
    return deviation * density + mean * above


def _capacity(candidate: Candidate, mean_s: float) -> float:
    """Return the requests per second that a server can serve."""
    service_s = max(candidate.service_s or mean_s, _MIN_SERVICE_S)
    return candidate.slots / service_s


def _has_room(candidate: Candidate, mean_s: float) -> bool:
    """Return whether a slot is expected to be free."""
    work, _ = _work(candidate, mean_s)
    return work + 1 <= candidate.slots
