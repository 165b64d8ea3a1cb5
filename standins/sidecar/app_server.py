"""A stand-in for an application server of the users' platform."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.request import Request


class AppServer:
    """
    Runs requests, holds leases on key ranges and records both.

    :param target_id: the server's id.
    :param keyed: whether to run only requests for keys that are held.
    :param work_s: service time of each request, in seconds.
    :ivar runs: ids of the requests that were started, oldest first.
    :ivar requests: the requests that were started, oldest first.
    :ivar grants: held ranges as (first key, last key, fencing token,
        expiry in event loop time), newest last.
    :ivar accepted: all grants that were accepted, as (event loop time,
        first key, last key, fencing token).
    :ivar handovers: handover texts received with grants.
    :ivar shed: whether to reject all requests as not executed.
    :ivar omit_seal: whether to leave the seal header out of responses.
    :ivar status: status of the responses to requests that were run.
    :ivar fences: last fencing token by the first and last key of each
        granted range.
    :ivar notices: headers that it adds to its responses.
    :ivar arrivals: event loop time of each request, oldest first.
    :ivar in_flight: number of requests that are running.
    :ivar padding: bytes at the end of each response's body.
    :ivar before_run: called before a request is run; it may stop
        the server.
    """

    def __init__(
        self, target_id: str, *, keyed: bool = False, work_s: float = 0.01
    ) -> None:
        self.target_id = target_id
        self.keyed = keyed
        self.work_s = work_s
        self.runs: list[str] = []
        self.requests: list[Request] = []
        self.grants: list[tuple[int, int, int, float]] = []
        self.accepted: list[tuple[float, int, int, int]] = []
        self.handovers: list[str] = []
        self.shed = False
        self.omit_seal = False
        self.status = 200
        self.fences: dict[int, int] = {}
        self.notices: list[tuple[str, str]] = []
        self.arrivals: list[float] = []
        self.in_flight = 0
        self.padding = b""
        self.before_run: Callable[[Request], None] = lambda _req: None

    async def answer(self, req: Request) -> Response:
        """Handle a request, a grant or a release."""
        if req.path == "/api/grant":
            return self._grant(json.loads(req.body))
        if req.path == "/api/release":
            return await self._release(json.loads(req.body))
        return await self._run(req)

    def announcement(
        self, *, address: str, service: str, sequence: int
    ) -> bytes:
        """Return the body of a heartbeat."""
        body = {
            "service": service,
            "address": address,
            "zone": "dc1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining": "0ms",
            "sequence": sequence,
            "born": 1000,
        }
        return json.dumps(body).encode()

    def holds(self, key: int) -> bool:
        """Return whether a grant that has not expired covers a key."""
        now = asyncio.get_running_loop().time()
        return any(
            first <= key <= last and expires_at > now
            for first, last, _, expires_at in self.grants
        )

    def _grant(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        fence = int(str(body["fence"]))
        hold_s = int(str(body["hold_time"]).removesuffix("ms")) / 1000
        highest_fence = max(
            (
                token
                for key, token in self.fences.items()
                if first <= key <= last
            ),
            default=0,
        )
        if highest_fence > fence:
            return Response(409)
        for key in (first, last):
            self.fences[key] = fence
        now = asyncio.get_running_loop().time()
        self.grants = [
            grant
            for grant in self.grants
            if grant[1] < first or grant[0] > last
        ]
        self.grants.append((first, last, fence, now + hold_s))
        self.accepted.append((now, first, last, fence))
        if body.get("handover"):
            self.handovers.append(str(body["handover"]))
        return Response(200)

    async def _release(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        kept: list[tuple[int, int, int, float]] = []
        for low, high, fence, expires_at in self.grants:
            if high < first or low > last:
                kept.append((low, high, fence, expires_at))
                continue
            if low < first:
                kept.append((low, first - 1, fence, expires_at))
            if high > last:
                kept.append((last + 1, high, fence, expires_at))
        self.grants = kept
        while self.in_flight:
            await asyncio.sleep(0.005)
        return Response(200, [("Handover", f"h-{first}-{last}")])

    async def _run(self, req: Request) -> Response:
        request_id = req.header("attempt-id") or ""
        headers = [("Attempt-Id", request_id), *self.notices]
        self.arrivals.append(asyncio.get_running_loop().time())
        if req.header("expected-instance") != self.target_id:
            return Response(421, headers)
        key = req.header("shard-key")
        if self.keyed and (key is None or not self.holds(int(key))):
            return Response(421, [*headers, ("Not-Executed", "1")])
        if self.shed:
            return Response(503, [*headers, ("Not-Executed", "1")])
        self.runs.append(request_id)
        self.requests.append(req)
        self.before_run(req)
        self.in_flight += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.in_flight -= 1
        if not self.omit_seal:
            headers.append(("Server-Seal", f"seal-{request_id}"))
        body = b"answer to " + req.body + self.padding
        return Response(self.status, headers, body)
