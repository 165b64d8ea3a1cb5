"""The answer to a change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.views.view import View

if TYPE_CHECKING:
    from burdockgap.admin.change_verdict import ChangeVerdict


class ChangeOutcome(View):
    """
    The outcome of a change.

    :param verdict: whether it took effect.
    :param version: the version in force after it, as far as known.
    :param reason: what went wrong and what to do, "" if accepted.
    """

    __slots__ = ("verdict", "version", "reason")

    def __init__(
        self, *, verdict: ChangeVerdict, version: int, reason: str = ""
    ) -> None:
        self.verdict = verdict
        self.version = version
        self.reason = reason
