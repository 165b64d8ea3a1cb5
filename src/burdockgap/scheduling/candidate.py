"""What is known of a server when a request's server is chosen."""

from __future__ import annotations


class Candidate:
    """
    One daemon's knowledge of a server that may run a request.

    Addresses the load of many daemons that choose at the same time by
    reports of different age.

    :param name: name of the member beside the server.
    :param work: requests running and queued, according to the report.
    :param mean_work: the same, averaged over the last reports.
    :param slots: requests that the server may run concurrently.
    :param service_s: mean service time in seconds, 0 if no request has
        run yet.
    :param slowness: how many times longer work took than on average
        when the report was made.
    :param age_s: age of the report, in seconds.
    :param own_calls: own outstanding calls that the report does not
        include.
    :param full_s: time until the server is expected to have room after
        a refusal, in seconds; 0 if it has not refused since.
    :param rate_wait_s: time until the server's rate limit admits the
        request, in seconds.
    :param uplink_s: time until its link has sent what is queued, in
        seconds.
    :param downlink_s: time until its link has received what waits, in
        seconds; 0 for a request without a long body.
    :param distance_s: cost of the way to the server, in seconds.
    """

    __slots__ = (
        "age_s",
        "distance_s",
        "downlink_s",
        "full_s",
        "mean_work",
        "name",
        "own_calls",
        "rate_wait_s",
        "service_s",
        "slots",
        "slowness",
        "uplink_s",
        "work",
    )

    def __init__(
        self,
        name: str,
        *,
        work: int,
        slots: int,
        service_s: float,
        mean_work: float | None = None,
        slowness: float = 1.0,
        age_s: float = 0.0,
        own_calls: int = 0,
        full_s: float = 0.0,
        rate_wait_s: float = 0.0,
        uplink_s: float = 0.0,
        downlink_s: float = 0.0,
        distance_s: float = 0.0,
    ) -> None:
        self.name = name
        self.work = work
        self.mean_work = work if mean_work is None else mean_work
        self.slots = max(slots, 1)
        self.service_s = service_s
        self.slowness = slowness
        self.age_s = age_s
        self.own_calls = own_calls
        self.full_s = full_s
        self.rate_wait_s = rate_wait_s
        self.uplink_s = uplink_s
        self.downlink_s = downlink_s
        self.distance_s = distance_s
