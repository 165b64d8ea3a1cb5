"""The outcome of an attempt without an answer of the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.verdict.reason import Reason
    from burdockgap.verdict.verdict import Verdict


class Refusal(Exception):  # noqa: N818 - the field's word for the outcome
    """
    An attempt that brought no answer.

    :param verdict: whether the request may have run.
    :param reason: the cause.
    :param detail: a sentence for the caller.
    :param owner: peer address of the daemon to try instead, or "".
    """

    def __init__(
        self,
        verdict: Verdict,
        reason: Reason,
        detail: str = "",
        *,
        owner: str = "",
    ) -> None:
        super().__init__(f"{verdict.value}: {reason.value}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.owner = owner
