"""One version of the whole configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.accounts.key_directory import KeyDirectory
    from burdockgap.http1.limits import ConnectionLimits
    from burdockgap.routing.route import Route
    from burdockgap.routing.service_policy import ServicePolicy


class RoutingConfig:
    """
    Routes, services and limits of one version.

    :param version: increases with each configuration.
    :param routes: all routes.
    :param services: all services.
    :param limits: limits on callers' connections.
    :param accounts: the clients' accounts; ``None`` if there are none,
        so that requests need no key.
    """

    __slots__ = ("_by_host", "accounts", "limits", "services", "version")

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServicePolicy],
        limits: ConnectionLimits,
        accounts: KeyDirectory | None = None,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.accounts = accounts
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """
        Return the route with the longest prefix that matches.

        :param host: the request's host, with or without a port.
        :param path: the path without its query.
        """
        by_prefix = self._by_host.get(host.lower().partition(":")[0])
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
