"""The load of a target as its daemon sees it."""

from __future__ import annotations

from typing import Any

from burdockgap.forward.load_error import LoadError
from burdockgap.wire.checks import MAX_COUNT, check_integer, check_number

_MAX_SECONDS = 24 * 3600
"""No request and no queue of a link takes longer; the time-outs of
callers are far below."""


class Load:
    """
    The load of one target and of its machine's link.

    :param in_flight: requests that the target is running.
    :param waiting: requests queued for it in its daemon.
    :param slots: requests that it may run concurrently.
    :param service_s: average service time of a request, in seconds; 0
        if none has run yet.
    :param slowness: how many times longer work takes now than on
        average, as reported by the target.
    :param uplink_s: time until the machine's link has sent all queued
        and expected data, in seconds.
    :param downlink_s: time until the machine's link has received all
        long messages that other daemons offer, in seconds.
    :param rate_limit: requests per second that the target takes from
        all daemons together, ``None`` if it names no limit.
    :param rate_wait_s: time until that limit admits another request, in
        seconds.
    """

    __slots__ = (
        "downlink_s",
        "in_flight",
        "rate_limit",
        "rate_wait_s",
        "service_s",
        "slots",
        "slowness",
        "uplink_s",
        "waiting",
    )

    def __init__(
        self,
        *,
        in_flight: int = 0,
        waiting: int = 0,
        slots: int = 1,
        service_s: float = 0.0,
        slowness: float = 1.0,
        uplink_s: float = 0.0,
        downlink_s: float = 0.0,
        rate_limit: float | None = None,
        rate_wait_s: float = 0.0,
    ) -> None:
        self.uplink_s = uplink_s
        self.downlink_s = downlink_s
        self.in_flight = in_flight
        self.waiting = waiting
        self.slots = slots
        self.service_s = service_s
        self.slowness = slowness
        self.rate_limit = rate_limit
        self.rate_wait_s = rate_wait_s

    def encode(self) -> list[Any]:
        """Return the fields as the list that ``decode`` reads."""
        return [
            self.in_flight,
            self.waiting,
            self.slots,
            self.service_s,
            self.slowness,
            self.uplink_s,
            self.downlink_s,
            self.rate_limit,
            self.rate_wait_s,
        ]

    @classmethod
    def decode(cls, values: list[Any]) -> Load:
        """
        Return the load that ``encode`` turned into a list.

        :raises LoadError: if the list is not that of a load, or has a
            figure that no server can have.
        """
        try:
            return cls._decode(values)
        except ValueError as exc:
            raise LoadError(str(exc)) from exc

    @classmethod
    def _decode(cls, values: list[Any]) -> Load:
        if not isinstance(values, list):
            raise ValueError(f"load is {values!r:.40}, which is no list")
        (
            in_flight,
            waiting,
            slots,
            service_s,
            slowness,
            uplink_s,
            downlink_s,
            rate_limit,
            rate_wait_s,
        ) = values
        return cls(
            in_flight=check_integer(in_flight, "in flight", most=MAX_COUNT),
            waiting=check_integer(waiting, "waiting", most=MAX_COUNT),
            slots=check_integer(slots, "slots", most=MAX_COUNT),
            service_s=_check_seconds(service_s, "service time"),
            slowness=check_number(slowness, "slowness"),
            uplink_s=_check_seconds(uplink_s, "uplink time"),
            downlink_s=_check_seconds(downlink_s, "downlink time"),
            rate_limit=None
            if rate_limit is None
            else check_number(rate_limit, "rate limit"),
            rate_wait_s=check_number(rate_wait_s, "rate wait"),
        )


def _check_seconds(value: Any, name: str) -> float:
    if check_number(value, name) > _MAX_SECONDS:
        raise ValueError(f"{name} is out of range: 0 to {_MAX_SECONDS}")
    return float(value)
