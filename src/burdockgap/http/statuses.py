"""HTTP status codes of refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from burdockgap.verdict import Refusal

_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.MISSING_KEY: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.DUPLICATE: 409,
    Reason.QUARANTINED: 422,
    Reason.QUEUE_FULL: 429,
}
_SERVICE_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504


def status_of(refusal: Refusal) -> int:
    """
    Return the HTTP status code of a refusal.

    A request that did not run gets 4xx or 503. One that may have run
    gets 502 or 504, or 409 if it is a duplicate.
    """
    if refusal.verdict is Verdict.NOT_RUN:
        return _BY_REASON.get(refusal.reason, _SERVICE_UNAVAILABLE)
    if refusal.reason is Reason.DUPLICATE:
        return _BY_REASON[Reason.DUPLICATE]
    if refusal.reason is Reason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY
