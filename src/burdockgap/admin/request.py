"""A request to the administration API."""

from __future__ import annotations

from typing import Any
from urllib.parse import parse_qs

from burdockgap.admin.api_error import ApiError
from burdockgap.admin.fields import Fields


class Request:
    """
    The head of a request and, for POST, the fields of its body.

    :param scope: the ASGI scope.
    """

    __slots__ = ("_query", "fields", "headers", "method", "params", "path")

    def __init__(self, scope: Any) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        query = scope["query_string"].decode("latin-1")
        self._query: dict[str, list[str]] = parse_qs(
            query, keep_blank_values=True
        )
        self.params: list[str] = []
        self.fields = Fields({})

    def query(self, name: str, default: str | None = None) -> str:
        """
        Return a query parameter.

        :raises ApiError: if it is missing and there is no default, or
            if it is given more than once.
        """
        values = self._query.get(name, [])
        if not values and default is not None:
            return default
        if len(values) != 1:
            raise ApiError(400, f"give the query parameter {name!r} once")
        return values[0]
