"""The head of a forwarded request."""

from __future__ import annotations

from burdockgap.wire.message import Message


class ForwardHead(Message):
    """
    All fields of a forwarded request; a long body follows in parts.

    :param request_id: the caller's request id.
    :param service: the service.
    :param method: HTTP method.
    :param path: path with the query string.
    :param headers: pairs of header name and value.
    :param key_hash: hash of the key, ``None`` for unkeyed requests.
    :param idempotent: whether it may run more than once.
    :param timeout_s: seconds left until the deadline.
    :param fingerprint: hash that similar requests have in common.
    :param whole: the body, ``None`` if it follows in parts.
    """

    __slots__ = (
        "request_id",
        "service",
        "method",
        "path",
        "headers",
        "key_hash",
        "idempotent",
        "timeout_s",
        "fingerprint",
        "whole",
    )
    TAG = 60

    def __init__(
        self,
        *,
        request_id: str,
        service: str,
        method: str,
        path: str,
        headers: list[list[str]],
        key_hash: int | None,
        idempotent: bool,
        timeout_s: float,
        fingerprint: int,
        whole: bytes | None = None,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.key_hash = key_hash
        self.idempotent = idempotent
        self.timeout_s = timeout_s
        self.fingerprint = fingerprint
        self.whole = whole
