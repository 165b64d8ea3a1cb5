"""One route of a configuration."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class Route:
    """
    How requests to a host and path prefix are forwarded.

    :param name: the route's name.
    :param host: host name, in lower case.
    :param prefix: path prefix; begins and ends with a slash.
    :param idempotent: whether a request may run more than once.
    :param large: whether responses are large.
    :param timeout_s: longest time until the final response, in seconds.
    :param objective_s: latency objective of a response, in seconds.
    :param max_attempts: maximum number of targets that may run one
        request.
    :param priority: rank; 0 is the most urgent.
    :param weighted_services: services with their weights, at least one.
    :param regions: regions whose targets may run the requests; empty
        for all.
    :param allow_anonymous: whether requests need no account.
    """

    __slots__ = (
        "allow_anonymous",
        "host",
        "idempotent",
        "large",
        "max_attempts",
        "name",
        "objective_s",
        "weighted_services",
        "prefix",
        "priority",
        "regions",
        "timeout_s",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        idempotent: bool,
        large: bool,
        timeout_s: float,
        objective_s: float,
        max_attempts: int,
        priority: int,
        weighted_services: Sequence[tuple[str, float]],
        regions: frozenset[str] = frozenset(),
        allow_anonymous: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.idempotent = idempotent
        self.large = large
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.max_attempts = max_attempts
        self.priority = priority
        self.weighted_services = tuple(weighted_services)
        self.regions = regions
        self.allow_anonymous = allow_anonymous

    def pick_service(self) -> str:
        """Return one of the route's services at random, by weight."""
        if len(self.weighted_services) == 1:
            return self.weighted_services[0][0]
        weights = [weight for _, weight in self.weighted_services]
        return random.choices(self.weighted_services, weights)[0][0]
