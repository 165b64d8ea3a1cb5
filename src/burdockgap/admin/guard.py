"""Authentication of requests by bearer token."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from burdockgap.admin.api_error import ApiError

if TYPE_CHECKING:
    from burdockgap.admin.request import Request

_SCHEME = "bearer"


class Guard:
    """
    Checks the bearer token of requests.

    :param token: the expected token, "" if none is required.
    """

    __slots__ = ("_token",)

    def __init__(self, token: str) -> None:
        self._token = token.encode()

    def check(self, req: Request) -> None:
        """
        Check the token of a request.

        :raises ApiError: with 401 if it is missing or wrong.
        """
        if not self._token:
            return
        header = req.headers.get("authorization", "")
        scheme, _, token = header.partition(" ")
        # Request decodes headers as latin-1; this restores the bytes.
        given = token.strip().encode("latin-1")
        matches = hmac.compare_digest(given, self._token)
        if scheme.lower() != _SCHEME or not matches:
            raise ApiError(401, "give the daemon's admin.token as bearer")
