"""A request as the gate sends it to its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class TargetRequest:
    """
    One request to the target.

    :param request_id: the caller's request id, also used to cancel.
    :param method: HTTP method.
    :param path: path with the query string.
    :param headers: header names and values.
    :param body: the body's chunks as they arrive.
    :param unit: the unit of a keyed request, else ``None``.
    :param epoch: the unit's epoch, zero for unkeyed requests.
    :param timeout_s: seconds that remain until the deadline.
    :param whole: the complete body if it has already been read.
    """

    __slots__ = (
        "body",
        "epoch",
        "headers",
        "method",
        "path",
        "request_id",
        "timeout_s",
        "unit",
        "whole",
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: AsyncIterator[bytes],
        unit: int | None,
        epoch: int,
        timeout_s: float,
        whole: bytes | None = None,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.unit = unit
        self.epoch = epoch
        self.timeout_s = timeout_s
        self.whole = whole
