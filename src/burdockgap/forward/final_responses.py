"""Responses to callers after the last attempt."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from burdockgap.http1.encode import end_to_end
from burdockgap.http1.response import Response
from burdockgap.verdict import Reason

if TYPE_CHECKING:
    from burdockgap.forward.outcome import Outcome
    from burdockgap.forward.progress import Progress
    from burdockgap.routing.route import Route

RETRY_AFTER_S = (0.1, 0.25)
_SPREAD = (1.0, 1.2)
"""Separates the returns of callers that are told the shortest time."""
_HONOURED_SHARE = 1 / 3
"""Share of its remaining time that a caller waits at most."""
_SERVER_ERROR = 500


def final_response(
    outcome: Outcome, route: Route, progress: Progress
) -> Response | None:
    """Return the response to pass on, if the attempt brought one."""
    response = outcome.response
    if response is None:
        return None
    if response.status < _SERVER_ERROR or not route.idempotent:
        return _without_hop_headers(response)
    progress.error_response = response
    return None


def failure_response(
    progress: Progress, last: Outcome, left_s: float
) -> Response:
    """
    Return the response to a request that is not retried.

    :param left_s: time until the caller's deadline, in seconds.
    """
    if progress.error_response is not None:
        return _without_hop_headers(progress.error_response)
    if progress.possible_runs:
        status = 504 if last.reason is Reason.DEADLINE else 502
        return Response(status)
    if last.reason is Reason.QUARANTINED:
        # Nothing else can serve it earlier.
        return _unavailable(last.retry_after_s)
    pause_s = max(last.retry_after_s, random.uniform(*RETRY_AFTER_S))
    if math.isfinite(progress.retry_after_s):
        # The target that has room first determines the time.
        pause_s = max(progress.retry_after_s, RETRY_AFTER_S[0])
        pause_s *= random.uniform(*_SPREAD)
    pause_s = max(min(pause_s, left_s * _HONOURED_SHARE), RETRY_AFTER_S[0])
    return _unavailable(pause_s)


def _unavailable(pause_s: float) -> Response:
    return Response(503, [("Retry-After", f"{pause_s:.3f}")])


def _without_hop_headers(response: Response) -> Response:
    stripped = Response(
        response.status, end_to_end(response.headers), response.body
    )
    stripped.charge = response.charge
    return stripped
