"""A stand-in for a server of the users' platform."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from burdockgap.http1.request import Request


class AppServer:
    """
    Runs requests, holds keys for a time and records what it did.

    :param target_id: its id.
    :param keyed: whether it runs only requests for keys that it holds.
    :param work_s: time that each request takes, in seconds.
    :ivar runs: ids of the requests that it began.
    :ivar grants: ranges with their fencing token and end, newest last.
    :ivar shed: rejects everything as not run.
    :ivar forget_seal: leaves the seal out.
    :ivar handovers: handovers that grants brought.
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
        self.handovers: list[str] = []
        self.shed = False
        self.omit_seal = False
        self.status = 200
        self.fences: dict[int, int] = {}
        self.working = 0

    async def answer(self, req: Request) -> Response:
        """Answer a request, a grant or a release."""
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
        """Tell whether a key is held now."""
        now = asyncio.get_running_loop().time()
        return any(
            first <= key <= last and until > now
            for first, last, _, until in self.grants
        )

    def _grant(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        fence = int(str(body["fence"]))
        hold_s = int(str(body["hold_time"]).removesuffix("ms")) / 1000
        seen = max(
            (
                token
                for key, token in self.fences.items()
                if first <= key <= last
            ),
            default=0,
        )
        if seen > fence:
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
        if body.get("handover"):
            self.handovers.append(str(body["handover"]))
        return Response(200)

    async def _release(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        kept: list[tuple[int, int, int, float]] = []
        for low, high, fence, until in self.grants:
            if high < first or low > last:
                kept.append((low, high, fence, until))
                continue
            if low < first:
                kept.append((low, first - 1, fence, until))
            if high > last:
                kept.append((last + 1, high, fence, until))
        self.grants = kept
        while self.working:
            await asyncio.sleep(0.005)
        return Response(200, [("Handover", f"h-{first}-{last}")])

    async def _run(self, req: Request) -> Response:
        request_id = req.header("attempt-id") or ""
        headers = [("Attempt-Id", request_id)]
        if req.header("expected-instance") != self.target_id:
            return Response(421, headers)
        key = req.header("shard-key")
        if self.keyed and (key is None or not self.holds(int(key))):
            return Response(421, [*headers, ("Not-Executed", "1")])
        if self.shed:
            return Response(503, [*headers, ("Not-Executed", "1")])
        self.runs.append(request_id)
        self.requests.append(req)
        self.working += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.working -= 1
        if not self.omit_seal:
            headers.append(("Server-Seal", f"seal-{request_id}"))
        return Response(self.status, headers, b"answer to " + req.body)
