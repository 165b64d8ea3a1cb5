"""A caller's request as the product sees it."""

from __future__ import annotations


class CallerRequest:
    """
    What a caller wants, whatever protocol said so.

    :param request_id: the caller's id of the request.
    :param host: the host that was asked.
    :param method: the method.
    :param target: path and query, as sent.
    :param path: the path alone.
    :param headers: end-to-end headers to pass on, names in lower case.
    :param body: the whole body.
    :param wait_s: how long the caller waits from its arrival, in
        seconds; ``None`` if it did not say.
    :param key: the key, if one was named.
    :param arrived_at: when it arrived, on the event loop's clock.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "headers",
        "host",
        "key",
        "method",
        "path",
        "request_id",
        "target",
        "wait_s",
    )

    def __init__(
        self,
        *,
        request_id: str,
        host: str,
        method: str,
        target: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        wait_s: float | None,
        key: int | None,
        arrived_at: float,
    ) -> None:
        self.request_id = request_id
        self.host = host
        self.method = method
        self.target = target
        self.path = path
        self.headers = headers
        self.body = body
        self.wait_s = wait_s
        self.key = key
        self.arrived_at = arrived_at
