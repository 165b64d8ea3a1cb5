"""The outcome of a request as its caller saw it."""

from __future__ import annotations


class RequestOutcome:
    """
    A request and the answer to it.

    :param request_id: the request's id.
    :param key: the key.
    :param idempotent: whether the request may run more than once.
    :param sent: boot time at which it was sent, in seconds.
    :param answered: boot time of the answer or of the client's error.
    :param verdict: the verdict header, "" if there was no answer.
    :param status: the HTTP status, 0 if there was no answer.
    :param echo: the request id in the answer's body, "" if none.
    :param whole: whether the body was complete.
    :param detail: text of a refusal or of the client's error.
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
        """Return whether the caller got a successful answer."""
        return self.status == 200 and self.verdict == "ran"
