"""The head of a reply."""

from __future__ import annotations

from burdockgap.wire.message import Message


class ReplyHead(Message):
    """
    The target's status and headers; the body follows.

    :param status: HTTP status code.
    :param headers: pairs of header name and value.
    :param name: name of the daemon that serves the target.
    :param in_flight: requests that run or wait at the gate.
    :param limit: requests that the gate lets run at once.
    """

    __slots__ = (
        "status",
        "headers",
        "name",
        "in_flight",
        "limit",
    )
    TAG = 62

    def __init__(
        self,
        *,
        status: int,
        headers: list[list[str]],
        name: str,
        in_flight: int,
        limit: int,
    ) -> None:
        self.status = status
        self.headers = headers
        self.name = name
        self.in_flight = in_flight
        self.limit = limit
