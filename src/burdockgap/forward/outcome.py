"""The outcome of one attempt."""

from __future__ import annotations

from typing import Any

from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.load import Load
from burdockgap.forward.load_error import LoadError
from burdockgap.http1.response import Response
from burdockgap.http1.response_head import check_status
from burdockgap.verdict import Reason, Verdict
from burdockgap.wire.checks import check_integer


class Outcome:
    """
    The result of an attempt, with the target's response if any.

    :param verdict: whether the target ran the request.
    :param response: the target's complete response, if there is one.
    :param reason: the cause, if there is no response.
    :param retry_after_s: delay after which another attempt may succeed,
        in seconds.
    :param load: the target's load at the end of the attempt.
    :param notice: what is known of the target's notices, if anything.
    :param sent: whether the request was, or may have been, sent to a
        target.
    :ivar load_error: why the load in a reply was rejected, if it was.
    :ivar waited_s: time spent waiting for a grant and a slot, in
        seconds; known to the target's daemon only.
    :ivar nested: whether a running request made the call; known to the
        target's daemon only.
    """

    __slots__ = (
        "load",
        "load_error",
        "nested",
        "notice",
        "sent",
        "reason",
        "response",
        "retry_after_s",
        "verdict",
        "waited_s",
    )

    def __init__(
        self,
        verdict: Verdict,
        *,
        response: Response | None = None,
        reason: Reason | None = None,
        retry_after_s: float = 0.0,
        load: Load | None = None,
        notice: KnownNotice | None = None,
        sent: bool = False,
    ) -> None:
        self.verdict = verdict
        self.response = response
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.load = load
        self.notice = notice
        self.sent = sent
        self.load_error: str | None = None
        self.waited_s = 0.0
        self.nested = False

    def encode(self) -> list[Any]:
        """Return the fields as the list that ``decode`` reads."""
        response = self.response
        return [
            self.verdict.value,
            self.reason.value if self.reason else None,
            self.retry_after_s,
            self.sent,
            self.load.encode() if self.load else None,
            self.notice.encode() if self.notice else None,
            [response.status, response.headers, response.body]
            if response
            else None,
        ]

    @classmethod
    def decode(cls, values: list[Any]) -> Outcome:
        """
        Return the outcome that ``encode`` turned into a list.

        :raises ValueError: if the list is not that of an outcome.
        """
        verdict, reason, retry_after_s, sent, load, notice, response = values
        decoded_load, load_error = None, None
        try:
            decoded_load = Load.decode(load) if load else None
        except LoadError as exc:
            # The response is valid without it.
            load_error = str(exc)
        outcome = cls(
            Verdict(verdict),
            reason=Reason(reason) if reason else None,
            retry_after_s=retry_after_s,
            sent=sent,
            load=decoded_load,
            notice=KnownNotice.decode(notice) if notice else None,
            response=_response(response) if response else None,
        )
        outcome.load_error = load_error
        return outcome


def _response(values: list[Any]) -> Response:
    status, headers, body = values
    check_status(check_integer(status, "status"), has_body=True)
    return Response(status, [(name, value) for name, value in headers], body)
