"""The protocol of the users' servers."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from burdockgap.forward.target_notice import TargetNotice
from burdockgap.http1.encode import encode_request, encode_request_head
from burdockgap.platform import names
from burdockgap.platform.times import encode_time
from burdockgap.verdict import Verdict

if TYPE_CHECKING:
    from burdockgap.forward.call import Call
    from burdockgap.http1.response import Response

_MISDIRECTED_STATUS = 421
_SLOWNESS_INDEX = 3
_PER_CENT = 100
_MAX_SLOWNESS = 1000
_JSON_HEADERS = [("host", "target"), ("content-type", "application/json")]


class PlatformTargetProtocol:
    """Encodes calls, grants and releases; interprets the responses."""

    __slots__ = ()

    def encode_head(
        self, call: Call, *, target_id: str, left_s: float
    ) -> bytes:
        """Encode the head of a call that has ``left_s`` left."""
        headers = [
            *call.headers,
            (names.DEADLINE_MS, str(max(int(left_s * 1000), 1))),
            (names.EXPECTED_TARGET, target_id),
            (names.ORIGIN_SERVICE, call.origin),
        ]
        if call.account:
            headers.append((names.ACCOUNT, call.account))
        return encode_request_head(
            call.method, call.target, headers, len(call.body)
        )

    def matches(self, call: Call, response: Response) -> bool:
        """
        Return whether a response belongs to a call.

        Servers echo the id of the request. A response without one can
        only be told from a late one to an earlier request if there was
        no earlier request on the connection.
        """
        echoed = response.header(names.REQUEST_ID)
        if echoed is None:
            return not response.follows_others
        return echoed == call.request_id

    def verdict(self, response: Response) -> Verdict:
        """Return whether the target ran the request, as a verdict."""
        not_run = response.header(names.NOT_RUN) is not None
        if not_run or response.status == _MISDIRECTED_STATUS:
            return Verdict.NOT_RUN
        return Verdict.RAN

    def is_complete(self, response: Response) -> bool:
        """
        Return whether a response is complete.

        A successful one must have a seal and an id, and no content
        encoding, and its body must be delimited by a length or chunks:
        one that ends with the connection may have been cut. Others
        count as complete.
        """
        if not response.is_success:
            return True
        return (
            not response.ends_at_close
            and response.header(names.SEAL) is not None
            and response.header(names.REQUEST_ID) is not None
            and response.header(names.CONTENT_ENCODING) is None
        )

    def slowness(self, response: Response) -> float:
        """
        Return the processing time as a multiple of the usual one.

        The reported value includes the permanent speed of the target's
        machine.
        """
        load_fields = (response.header(names.LOAD) or "").split(",")
        if len(load_fields) <= _SLOWNESS_INDEX:
            return 1.0
        try:
            per_cent = float(load_fields[_SLOWNESS_INDEX])
        except ValueError:
            return 1.0
        if not 0 < per_cent <= _MAX_SLOWNESS * _PER_CENT:
            return 1.0
        return per_cent / _PER_CENT

    def notice(self, call: Call, response: Response) -> TargetNotice | None:
        """
        Return what the target says of itself.

        :return: ``None`` if the response has no id, is that of another
            instance at the address, or names a limit that is not a
            decimal number.
        """
        if (
            response.header(names.REQUEST_ID) != call.request_id
            or response.status == _MISDIRECTED_STATUS
        ):
            return None
        limit = response.header(names.RATE_LIMIT)
        try:
            rate_limit = None if limit is None else _decode_rate(limit)
        except ValueError:
            return None
        return TargetNotice(
            rate_limit=rate_limit,
            leaving=response.header(names.LEAVING) == "1",
        )

    def encode_grant(
        self,
        *,
        first: int,
        last: int,
        fence: int,
        hold_s: float,
        handover: str,
    ) -> bytes:
        """Encode a grant of keys; the range includes both ends."""
        body = {
            "from": first,
            "to": last,
            "fence": fence,
            "hold_time": encode_time(hold_s),
        }
        if handover:
            body["handover"] = handover
        return encode_request(
            "POST", "/api/grant", _JSON_HEADERS, json.dumps(body).encode()
        )

    def encode_release(self, *, first: int, last: int, fence: int) -> bytes:
        """Encode a release of keys; the range includes both ends."""
        body = {"from": first, "to": last, "fence": fence}
        return encode_request(
            "POST", "/api/release", _JSON_HEADERS, json.dumps(body).encode()
        )

    def is_control_response(self, response: Response) -> bool:
        """Return whether a response is not one to a request."""
        return response.header(names.REQUEST_ID) is None

    def handover(self, response: Response) -> str:
        """Return the handover in the response to a release, or ""."""
        return response.header(names.HANDOVER) or ""


def _decode_rate(text: str) -> float:
    rate = float(text)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f"rate {text!r} is not a finite positive number")
    return rate
