"""A response, either parsed or to be encoded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.http1.encode import first_value

if TYPE_CHECKING:
    from burdockgap.resources.charge import Charge
    from burdockgap.resources.charge_share import ChargeShare


class Response:
    """
    A complete response.

    :param status: the status code.
    :param headers: pairs of name and value; the names of a parsed
        response are in lower case.
    :param body: the complete body.
    :ivar charge: counts the body as long as the response exists;
        ``None`` for one that is made here.
    :ivar connected_at: when its connection was opened, in seconds of
        the event loop's clock; 0.0 for one that is made here.
    :ivar ends_at_close: whether only the end of the connection showed
        the end of the body, so that a part may be missing.
    :ivar follows_others: whether other requests were sent on the same
        connection before, so that it may be a response to one of them.
    """

    __slots__ = (
        "body",
        "charge",
        "connected_at",
        "ends_at_close",
        "follows_others",
        "headers",
        "status",
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        self.status = status
        self.headers = headers or []
        self.body = body
        self.charge: Charge | ChargeShare | None = None
        self.connected_at = 0.0
        self.ends_at_close = False
        self.follows_others = False

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def header(self, name: str) -> str | None:
        """Return the first value of a header, named in lower case."""
        return first_value(self.headers, name)
