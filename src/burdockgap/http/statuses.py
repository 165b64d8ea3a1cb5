"""The HTTP status that agrees with a verdict."""

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
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMEOUT = 504


def status_of(refusal: Refusal) -> int:
    """
    Return the status of a refusal.

    A request that did not run is answered 4xx or 503; one that may have
    run is answered 502 or 504.
    """
    if refusal.verdict is Verdict.NOT_RUN:
        return _BY_REASON.get(refusal.reason, _UNAVAILABLE)
    if refusal.reason is Reason.DUPLICATE:
        return _BY_REASON[Reason.DUPLICATE]
    if refusal.reason is Reason.DEADLINE:
        return _TIMEOUT
    return _BAD_GATEWAY
