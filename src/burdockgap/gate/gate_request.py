"""A request as a daemon passes it to its gate."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class GateRequest:
    """
    One request for the daemon's own target.

    :param request_id: unique per request; a resend has the same id.
    :param service: the service that the caller requested.
    :param method: HTTP method.
    :param path: path with the query string.
    :param headers: header names and values.
    :param body: the body's chunks as they arrive.
    :param key_hash: hash of the key, ``None`` for unkeyed requests.
    :param idempotent: whether the request may run more than once.
    :param deadline: clock time at which the caller gives up.
    :param fingerprint: see :mod:`burdockgap.gate.fingerprint`.
    :param whole: the complete body if it has already been read.
    """

    __slots__ = (
        "body",
        "deadline",
        "fingerprint",
        "headers",
        "idempotent",
        "key_hash",
        "method",
        "path",
        "request_id",
        "service",
        "whole",
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: AsyncIterator[bytes],
        key_hash: int | None,
        idempotent: bool,
        deadline: float,
        fingerprint: int,
        whole: bytes | None = None,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.key_hash = key_hash
        self.idempotent = idempotent
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.whole = whole
