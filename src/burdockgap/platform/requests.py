"""Decoding of callers' requests from the platform's format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.forward.caller_request import CallerRequest
from burdockgap.http1.encode import end_to_end
from burdockgap.platform import names

if TYPE_CHECKING:
    from burdockgap.http1.request import Request

_INTERNAL_HEADERS = frozenset(
    {names.DEADLINE_MS, names.EXPECTED_TARGET, names.ORIGIN_SERVICE}
)
_ACCOUNT_HEADERS = frozenset({names.AUTHORIZATION, names.ACCOUNT})
_SCHEME = "bearer"
_UNKNOWN_KEY = b""
"""Belongs to no account: the configuration cannot have an empty key."""


def decode_request(req: Request) -> CallerRequest:
    """
    Decode the platform's headers of a caller's request.

    :raises ValueError: if a required header is missing or a value is
        invalid.
    """
    hosts = [value for name, value in req.headers if name == "host"]
    if len(hosts) != 1:
        raise ValueError(
            f"request has {len(hosts)} Host headers instead of one"
        )
    if not req.target.startswith("/"):
        raise ValueError("request target does not begin with /")
    request_id = req.header(names.REQUEST_ID)
    if not request_id:
        raise ValueError("header Attempt-Id is missing")
    headers = [
        pair
        for pair in end_to_end(req.headers)
        if pair[0] not in _INTERNAL_HEADERS
    ]
    return CallerRequest(
        request_id=request_id,
        host=hosts[0],
        method=req.method,
        target=req.target,
        path=req.path,
        headers=headers,
        headers_without_account=[
            pair for pair in headers if pair[0] not in _ACCOUNT_HEADERS
        ],
        credential=parse_credential(req),
        body=req.body,
        wait_s=_parse_wait_s(req),
        key=_parse_key(req),
        arrived_at=req.arrived_at,
    )


def _parse_wait_s(req: Request) -> float | None:
    value = req.header(names.DEADLINE_MS)
    if value is None:
        return None
    wait_s = float(value) / 1000
    # Not "<= 0", which is false for NaN.
    if not wait_s > 0:
        raise ValueError("header Deadline-Milliseconds is not positive")
    return wait_s


def parse_credential(req: Request) -> bytes | None:
    """
    Return the client's key, ``None`` if the request has none.

    A header from which no key can be read counts as an unknown key. Its
    content must not occur in an error message.
    """
    values = [
        value for name, value in req.headers if name == names.AUTHORIZATION
    ]
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    if len(values) > 1 or scheme.lower() != _SCHEME:
        return _UNKNOWN_KEY
    return key.strip().encode("latin-1", "replace")


def _parse_key(req: Request) -> int | None:
    value = req.header(names.KEY)
    return int(value) if value is not None else None
