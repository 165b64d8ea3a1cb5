"""The exception for an attempt that got no response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.verdict.reason import Reason
    from burdockgap.verdict.verdict import Verdict


class Refusal(Exception):  # noqa: N818 - the field's term for the outcome
    """
    An attempt ended without a response from the target.

    :param verdict: whether the request may have run.
    :param reason: the cause.
    :param detail: an explanation for the caller, in one sentence.
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
