"""A request that the target received and did not answer."""

from __future__ import annotations


class LostRequest:
    """
    A request that the target received and did not answer.

    :param request_id: the caller's id of the request.
    :param fingerprint: identifies the request across resends.
    :param born: start time of the process that was sent it.
    :param at: when the connection was lost, or else when the request
        was sent, in seconds.
    :param closed: whether the target closed the connection, and this
        daemon did not.
    :ivar outlived: whether the process is known to have been alive
        later.
    """

    __slots__ = (
        "at",
        "born",
        "closed",
        "fingerprint",
        "outlived",
        "request_id",
    )

    def __init__(
        self,
        *,
        request_id: str,
        fingerprint: int,
        born: int,
        at: float,
        closed: bool,
    ) -> None:
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.born = born
        self.at = at
        self.closed = closed
        self.outlived = False
