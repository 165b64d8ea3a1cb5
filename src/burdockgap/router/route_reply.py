"""The answer to a routed request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class RouteReply:
    """
    A target's answer and the daemon that it came through.

    :param status: HTTP status code.
    :param headers: header names and values.
    :param body: the parts as they arrive; raises ``Refusal`` if the
        answer is truncated.
    :param owner: name of the target's daemon.
    :param owner_address: ``ip:port`` of that daemon for callers.
    """

    __slots__ = ("body", "headers", "owner", "owner_address", "status")

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[str, str]],
        body: AsyncIterator[bytes],
        owner: str,
        owner_address: str,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.owner = owner
        self.owner_address = owner_address
