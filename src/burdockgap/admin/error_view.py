"""The response body of errors."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class ErrorView(View):
    """
    An error.

    :param error: what is wrong and what to do.
    """

    __slots__ = ("error",)

    def __init__(self, error: str) -> None:
        self.error = error
