"""A refusal of a request that crashes targets."""

from __future__ import annotations

from burdockgap.verdict import Reason, Refusal, Verdict


class Quarantined(Refusal):
    """
    Raised for a request in quarantine, with ``not-run``.

    :param left_s: time until the quarantine ends, in seconds.
    """

    def __init__(self, left_s: float) -> None:
        super().__init__(
            Verdict.NOT_RUN,
            Reason.QUARANTINED,
            "The request was running at two crashes; change it.",
        )
        self.left_s = left_s
