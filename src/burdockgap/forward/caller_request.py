"""A caller's request, decoded from the caller's protocol."""

from __future__ import annotations


class CallerRequest:
    """
    A caller's request in a form independent of the protocol.

    :param request_id: the caller's id of the request.
    :param host: the requested host.
    :param method: the method.
    :param target: path and query as sent (the HTTP request target).
    :param path: the path alone.
    :param headers: end-to-end headers to forward, names in lower case.
    :param body: the whole body.
    :param wait_s: the caller's timeout from the arrival, in seconds;
        ``None`` if it set none.
    :param key: the key, ``None`` if it has none.
    :param arrived_at: time of arrival on the event loop's clock.
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
