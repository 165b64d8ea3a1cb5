"""What one caller was told about its request."""

from __future__ import annotations


class Told:
    """
    A request and the answer to it.

    :param request_id: the request's id.
    :param key: the key.
    :param idempotent: whether it may run more than once.
    :param sent: clock time at which it was sent.
    :param answered: clock time of the answer or of giving up.
    :param verdict: the verdict header, "" if there was no answer.
    :param status: the HTTP status, 0 if there was no answer.
    :param echo: the request id inside the answer, "" if there is none.
    :param whole: whether the body was complete.
    :param detail: text of a refusal or of a client's error.
    """

    __slots__ = (
        "answered",
        "detail",
        "echo",
        "idempotent",
        "key",
        "request_id",
        "sent",
        "status",
        "verdict",
        "whole",
    )

    def __init__(
        self,
        *,
        request_id: str,
        key: str,
        idempotent: bool,
        sent: float,
        answered: float,
        verdict: str,
        status: int,
        echo: str,
        whole: bool,
        detail: str = "",
    ) -> None:
        self.request_id = request_id
        self.key = key
        self.idempotent = idempotent
        self.sent = sent
        self.answered = answered
        self.verdict = verdict
        self.status = status
        self.echo = echo
        self.whole = whole
        self.detail = detail

    @property
    def succeeded(self) -> bool:
        """Tell whether the caller got its answer."""
        return self.status == 200 and self.verdict == "ran"
