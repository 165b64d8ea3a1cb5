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
    A method and path with what answers them.

    :param method: HTTP method.
    :param path: the path, where ``*`` stands for one segment.
    :param handler: answers the request.
    :param guarded: whether a token is asked for.
    """

    __slots__ = ("_pattern", "guarded", "handler", "method")

    def __init__(
        self,
        method: str,
        path: str,
        handler: Callable[[Request], Awaitable[Response]],
        *,
        guarded: bool = True,
    ) -> None:
        self.method = method
        self._pattern = re.compile(re.escape(path).replace(r"\*", "([^/]+)"))
        self.handler = handler
        self.guarded = guarded

    def match(self, path: str) -> list[str] | None:
        """Return the segments for each ``*``, or ``None``."""
        found = self._pattern.fullmatch(path)
        return list(found.groups()) if found else None
