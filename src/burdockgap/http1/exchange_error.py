"""Why an exchange brought no response."""

from __future__ import annotations


class ExchangeError(Exception):
    """
    No complete response came.

    :param detail: what happened.
    :param sent: whether bytes of the request may have reached the
        server.
    :param refused: whether nothing listens at the address.
    """

    def __init__(
        self, detail: str, *, sent: bool, refused: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused
