"""What one caller got."""

from __future__ import annotations


class Answer:
    """
    The outcome of one request.

    :param sent_at: clock time at which it was due.
    :param elapsed_s: time until the whole answer was there.
    :param status: HTTP status, 0 without an answer.
    :param verdict: the verdict header.
    :param server: the daemon beside the target that answered.
    """

    __slots__ = ("elapsed_s", "sent_at", "server", "status", "verdict")

    def __init__(
        self,
        *,
        sent_at: float,
        elapsed_s: float,
        status: int,
        verdict: str,
        server: str,
    ) -> None:
        self.sent_at = sent_at
        self.elapsed_s = elapsed_s
        self.status = status
        self.verdict = verdict
        self.server = server

    @property
    def is_success(self) -> bool:
        """Whether a target's answer arrived."""
        return self.status == 200
