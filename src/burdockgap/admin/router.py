"""Lookup of the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.api_error import ApiError

if TYPE_CHECKING:
    from burdockgap.admin.request import Request
    from burdockgap.admin.route import Route


class Router:
    """
    Finds routes by method and path.

    :param routes: the routes; the first match wins.
    """

    __slots__ = ("_routes",)

    def __init__(self, routes: list[Route]) -> None:
        self._routes = routes

    def find(self, req: Request) -> Route | None:
        """
        Return the route of a request and set its path parameters.

        :return: ``None`` if the path is unknown.
        :raises ApiError: with 405 if the path has no such method.
        """
        methods = []
        for route in self._routes:
            params = route.match(req.path)
            if params is None:
                continue
            if route.method == req.method:
                req.params = params
                return route
            methods.append(route.method)
        if methods:
            raise ApiError(405, f"use {' or '.join(methods)} for this path")
        return None
