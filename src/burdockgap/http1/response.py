"""A response, read or to be written."""

from __future__ import annotations

from burdockgap.http1.encode import first_value


class Response:
    """
    A whole response.

    :param status: the status code.
    :param headers: pairs of name and value; names are in lower case in
        a response that was read.
    :param body: the whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        self.status = status
        self.headers = headers or []
        self.body = body

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def header(self, name: str) -> str | None:
        """Return a header's first value, by lower-case name."""
        return first_value(self.headers, name)
