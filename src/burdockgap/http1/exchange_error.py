"""The error raised for a request that got no complete response."""

from __future__ import annotations


class ExchangeError(Exception):
    """
    A request was not followed by a complete response.

    :param detail: the cause.
    :param sent: whether bytes of the request may have reached the
        server.
    :param refused: whether the server refused the connection.
    """

    def __init__(
        self, detail: str, *, sent: bool, refused: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused
