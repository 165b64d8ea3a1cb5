"""A rule that spans several settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.settings.settings import Settings


class CrossCheck:
    """
    A rule over settings that are each valid by themselves.

    :param keys: the settings it reads, as ``section.key``; problems
        are reported for the first.
    :param holds: returns whether the settings comply.
    :param text: what is expected, for the problem reported.
    """

    __slots__ = ("holds", "keys", "text")

    def __init__(
        self,
        *,
        keys: tuple[str, ...],
        holds: Callable[[Settings], bool],
        text: str,
    ) -> None:
        self.keys = keys
        self.holds = holds
        self.text = text
