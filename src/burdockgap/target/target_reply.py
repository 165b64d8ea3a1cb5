"""A target's response as the gate receives it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class TargetReply:
    """
    The head of a response and its body as it arrives.

    :param status: HTTP status code.
    :param headers: header names and values.
    :param body: the chunks; raises ``Refusal`` with ``may-have-run`` if
        the response ends early.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[str, str]],
        body: AsyncIterator[bytes],
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
