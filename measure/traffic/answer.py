"""The outcome of one request, as the caller sees it."""

from __future__ import annotations


class Answer:
    """
    The outcome of one request.

    :param sent_at: event loop time at which the request was due.
    :param elapsed_s: time from then until the whole answer arrived.
    :param status: HTTP status, 0 if no answer arrived.
    :param verdict: the verdict header, ``lost`` if no answer arrived.
    :param server: the owner header: the daemon of the target that
        answered.
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
        """Whether the request was answered with status 200."""
        return self.status == 200
