"""A parsed request."""

from __future__ import annotations

from burdockgap.http1.encode import first_value


class Request:
    """
    A complete request.

    :param method: the method, in upper case.
    :param target: path and query, as sent.
    :param headers: pairs of lower-case name and value.
    :param body: the complete body.
    :param arrived_at: when its first bytes were received, in seconds of
        the event loop's clock.
    """

    __slots__ = ("arrived_at", "body", "headers", "method", "target")

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

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, named in lower case."""
        return first_value(self.headers, name)
