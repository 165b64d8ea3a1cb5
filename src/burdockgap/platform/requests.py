"""Callers' requests in the platform's form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.forward.caller_request import CallerRequest
from burdockgap.http1.encode import end_to_end
from burdockgap.platform import names

if TYPE_CHECKING:
    from burdockgap.http1.request import Request

_SET_BY_THE_SYSTEM = frozenset(
    {names.DEADLINE_MS, names.EXPECTED_TARGET, names.ORIGIN_SERVICE}
)


def decode_request(req: Request) -> CallerRequest:
    """
    Return what a caller wants.

    :raises ValueError: if a header that is needed is missing or wrong.
    """
    hosts = [value for name, value in req.headers if name == "host"]
    if len(hosts) != 1:
        raise ValueError(f"the request has {len(hosts)} Host headers, not one")
    if not req.target.startswith("/"):
        raise ValueError("the request's target is not a path")
    request_id = req.header(names.REQUEST_ID)
    if not request_id:
        raise ValueError("the request has no Attempt-Id")
    return CallerRequest(
        request_id=request_id,
        host=hosts[0],
        method=req.method,
        target=req.target,
        path=req.path,
        headers=[
            pair
            for pair in end_to_end(req.headers)
            if pair[0] not in _SET_BY_THE_SYSTEM
        ],
        body=req.body,
        wait_s=_wait_s(req),
        key=_key(req),
        arrived_at=req.arrived_at,
    )


def _wait_s(req: Request) -> float | None:
    value = req.header(names.DEADLINE_MS)
    if value is None:
        return None
    wait_s = float(value) / 1000
    if wait_s <= 0:
        raise ValueError("the request's deadline has passed")
    return wait_s


def _key(req: Request) -> int | None:
    value = req.header(names.KEY)
    return int(value) if value is not None else None
