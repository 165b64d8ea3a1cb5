"""A response of the administration API."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from burdockgap.admin.encode import encode

if TYPE_CHECKING:
    from burdockgap.admin.views import View

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


class Response:
    """
    An HTTP response.

    :param status: HTTP status code.
    :param body: the body.
    :param content_type: its media type.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, body: bytes, content_type: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type

    @classmethod
    def json(cls, view: View, status: int = 200) -> Response:
        """Return a response with a view as JSON."""
        text = json.dumps(encode(view), ensure_ascii=False)
        return cls(status, text.encode(errors="replace") + b"\n", JSON_TYPE)

    @classmethod
    def text(cls, text: str, status: int = 200) -> Response:
        """Return a response with a line of plain text."""
        return cls(status, text.encode() + b"\n", TEXT_TYPE)
