"""The exception for requests that are answered with an error."""

from __future__ import annotations


class ApiError(Exception):
    """
    Ends a request with an error response.

    :param status: HTTP status code.
    :param text: what is wrong and what to do.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
