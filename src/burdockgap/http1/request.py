"""A parsed request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.http1.encode import first_value

if TYPE_CHECKING:
    from burdockgap.resources.charge import Charge


class Request:
    """
    A complete request.

    :param method: the method, in upper case.
    :param target: path and query, as sent.
    :param headers: pairs of lower-case name and value.
    :param body: the complete body.
    :param arrived_at: when its first bytes were received, in seconds of
        the event loop's clock.
    :ivar charges: count head and body until they are released.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "charges",
        "headers",
        "method",
        "target",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        arrived_at: float = 0.0,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.charges: tuple[Charge, ...] = ()

    @property
    def held_bytes(self) -> int:
        """Bytes that are counted for the request."""
        return sum(charge.size for charge in self.charges)

    def release(self) -> None:
        """Credit the bytes of the request."""
        for charge in self.charges:
            charge.release()

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, named in lower case."""
        return first_value(self.headers, name)
