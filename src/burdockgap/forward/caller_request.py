"""A caller's request, decoded from the caller's protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.accounts.account import Account


class CallerRequest:
    """
    A caller's request in a form independent of the protocol.

    :param request_id: the caller's id of the request.
    :param host: the requested host.
    :param method: the method.
    :param target: path and query as sent (the HTTP request target).
    :param path: the path alone.
    :param headers: end-to-end headers to forward, names in lower case.
    :param headers_without_account: the same without those that name an
        account or its key; forwarded if the configuration has accounts.
    :param credential: the client's key, ``None`` if it sent none.
    :param body: the whole body.
    :param wait_s: the caller's timeout from the arrival, in seconds;
        ``None`` if it set none.
    :param key: the key, ``None`` if it has none.
    :param arrived_at: time of arrival on the event loop's clock.
    :ivar account: the account that the request is attributed to;
        ``None`` until the check, and if there is none.
    """

    __slots__ = (
        "account",
        "arrived_at",
        "body",
        "credential",
        "headers",
        "headers_without_account",
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
        headers_without_account: list[tuple[str, str]] | None = None,
        credential: bytes | None = None,
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
        self.headers_without_account = (
            headers
            if headers_without_account is None
            else headers_without_account
        )
        self.credential = credential
        self.account: Account | None = None
