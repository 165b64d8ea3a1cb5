"""One route of the administration API."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.admin.request import Request
    from burdockgap.admin.response import Response


class Route:
    """
    A method and a path with their handler.

    :param method: HTTP method.
    :param path: the path; ``*`` matches one segment.
    :param handler: answers the request.
    :param requires_token: whether the request must bear the token.
    """

    __slots__ = ("_pattern", "requires_token", "handler", "method")

    def __init__(
        self,
        method: str,
        path: str,
        handler: Callable[[Request], Awaitable[Response]],
        *,
        requires_token: bool = True,
    ) -> None:
        self.method = method
        self._pattern = re.compile(re.escape(path).replace(r"\*", "([^/]+)"))
        self.handler = handler
        self.requires_token = requires_token

    def match(self, path: str) -> list[str] | None:
        """Return the segment for each ``*``, ``None`` if no match."""
        found = self._pattern.fullmatch(path)
        return list(found.groups()) if found else None
