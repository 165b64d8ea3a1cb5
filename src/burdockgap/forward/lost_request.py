"""A request whose connection to the target was lost."""

from __future__ import annotations


class LostRequest:
    """
    A request whose connection was closed before its response.

    :param request_id: the caller's id of the request.
    :param fingerprint: identifies the request across resends.
    :param born: start time of the process that was sent it.
    :param at: when the connection was lost, in seconds.
    :ivar outlived: whether the process is known to have been alive
        later.
    """

    __slots__ = ("at", "born", "fingerprint", "outlived", "request_id")

    def __init__(
        self, *, request_id: str, fingerprint: int, born: int, at: float
    ) -> None:
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.born = born
        self.at = at
        self.outlived = False
