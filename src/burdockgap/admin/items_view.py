"""The response body of lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.views.view import View

if TYPE_CHECKING:
    from collections.abc import Sequence


class ItemsView(View):
    """
    A list of views.

    :param items: the views.
    """

    __slots__ = ("items",)

    def __init__(self, items: Sequence[View]) -> None:
        self.items = items
