"""What the users' servers speak."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from burdockgap.http1.encode import encode_request
from burdockgap.platform import names
from burdockgap.platform.times import encode_time
from burdockgap.verdict import Verdict

if TYPE_CHECKING:
    from burdockgap.forward.call import Call
    from burdockgap.http1.response import Response

_MISDIRECTED = 421
_SLOWNESS_AT = 3
_PER_CENT = 100
_JSON = [("host", "target"), ("content-type", "application/json")]


class PlatformTargetProtocol:
    """Requests, grants and releases in the servers' form."""

    __slots__ = ()

    def encode(self, call: Call, *, target_id: str, left_s: float) -> bytes:
        """Return the bytes of a call for one target."""
        headers = [
            *call.headers,
            (names.DEADLINE_MS, str(max(int(left_s * 1000), 1))),
            (names.EXPECTED_TARGET, target_id),
            (names.ORIGIN_SERVICE, call.origin),
        ]
        return encode_request(call.method, call.target, headers, call.body)

    def answers(self, call: Call, response: Response) -> bool:
        """Tell whether a response echoes a call's id, or names none."""
        echoed = response.header(names.REQUEST_ID)
        return echoed is None or echoed == call.request_id

    def verdict(self, response: Response) -> Verdict:
        """Return whether the target ran the request."""
        not_run = response.header(names.NOT_RUN) is not None
        if not_run or response.status == _MISDIRECTED:
            return Verdict.NOT_RUN
        return Verdict.RAN

    def is_trustworthy(self, response: Response) -> bool:
        """Tell whether a success bears the target's seal, unencoded."""
        if not response.is_success:
            return True
        return (
            response.header(names.SEAL) is not None
            and response.header(names.REQUEST_ID) is not None
            and response.header(names.CONTENT_ENCODING) is None
        )

    def slowness(self, response: Response) -> float:
        """
        Return how many times longer work takes than usual.

        The figure includes the lasting speed of the target's machine.
        """
        figures = (response.header(names.LOAD) or "").split(",")
        if len(figures) <= _SLOWNESS_AT:
            return 1.0
        figure = figures[_SLOWNESS_AT].strip()
        per_cent = int(figure) if figure.isdigit() else 0
        return per_cent / _PER_CENT if per_cent else 1.0

    def encode_grant(
        self,
        *,
        first: int,
        last: int,
        fence: int,
        hold_s: float,
        handover: str,
    ) -> bytes:
        """Return the bytes of a grant of keys, both ends included."""
        body = {
            "from": first,
            "to": last,
            "fence": fence,
            "hold_time": encode_time(hold_s),
        }
        if handover:
            body["handover"] = handover
        return encode_request(
            "POST", "/api/grant", _JSON, json.dumps(body).encode()
        )

    def encode_release(self, *, first: int, last: int, fence: int) -> bytes:
        """Return the bytes of a call that takes keys back."""
        body = {"from": first, "to": last, "fence": fence}
        return encode_request(
            "POST", "/api/release", _JSON, json.dumps(body).encode()
        )

    def handover(self, response: Response) -> str:
        """Return the handover of a release, or ""."""
        return response.header(names.HANDOVER) or ""
