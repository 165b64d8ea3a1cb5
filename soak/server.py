"""A server beside a daemon, which reports what it does."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from soak.promises import DRAIN_S, EVACUATION_S, TOUCH_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.request import Request
    from soak.promises import Promises

PORT = 8301
CONTROL_PORT = 8306
_BEAT_S = 0.87
_WORK_S = 0.02
_SLOTS = 8
_ACK_TIMEOUT_S = 1.0


class SoakServer:
    """
    One server with its lives.

    :param name: its machine's name.
    :param service: its service.
    :param host: address that it listens on.
    :param control: host of the daemon beside it.
    :param data_centre: its data centre.
    :param promises: told what it does.
    :param thawed: tells whether its daemon was thawed just now.
    :param calm_s: returns how long its daemon has been undisturbed.
    :param out_for_s: returns for how long its data centre has been out.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        host: str,
        control: str,
        data_centre: str,
        promises: Promises,
        thawed: Callable[[], bool],
        calm_s: Callable[[], float],
        out_for_s: Callable[[], float],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._name = name
        self.service = service
        self._host = host
        self._control = control
        self._data_centre = data_centre
        self._promises = promises
        self._thawed = thawed
        self._calm_s = calm_s
        self._out_for_s = out_for_s
        self._stack = AsyncExitStack()
        self._lives = 0
        self._sequence = 0
        self._grants: list[tuple[int, int, int, float]] = []
        self._working = 0
        self._left_at: float | None = None
        self.up = False

    @property
    def life(self) -> str:
        """Names the server and its life."""
        return f"{self._name}/{self._lives}"

    async def start(self) -> None:
        """Begin a new life."""
        self._lives += 1
        self._sequence, self._left_at = 0, None
        self._grants = []
        await self._stack.enter_async_context(
            open_server(Server(self._answer), self._host, PORT)
        )
        self.up = True

    async def stop(self) -> None:
        """End as a crash would."""
        self.up = False
        self._promises.ended(self.life, self._loop.time())
        await self._stack.aclose()

    async def announce(self) -> None:
        """Send heartbeats for ever."""
        pool = ClientPool(
            (self._control, CONTROL_PORT), connect_timeout_s=0.5, idle_s=5.0
        )
        draining = False
        while True:
            if self.up:
                draining = self.draining
                acked = await self._beat(pool, draining=draining)
                if acked and draining and self._left_at is None:
                    self._left_at = self._loop.time()
            await asyncio.sleep(_BEAT_S)

    draining = False

    async def _beat(self, pool: ClientPool, *, draining: bool) -> bool:
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self._host}:{PORT}",
            "zone": self._data_centre,
            "version": "v1",
            "slots": _SLOTS,
            "state": "draining" if draining else "ready",
            "cold-remaining": "0ms",
            "sequence": self._sequence,
            "born": 1000 + self._lives,
        }
        data = encode_request(
            "PUT",
            f"/api/instances/{self._name}",
            [("host", self._control)],
            json.dumps(body).encode(),
        )
        with suppress(ExchangeError, TimeoutError):
            async with asyncio.timeout(_ACK_TIMEOUT_S):
                return (await pool.exchange(data)).is_success
        return False

    async def _answer(self, req: Request) -> Response:
        if req.path == "/api/grant":
            return self._grant(json.loads(req.body))
        if req.path == "/api/release":
            return await self._release(json.loads(req.body))
        return await self._run(req)

    def _grant(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        fence = int(str(body["fence"]))
        hold_s = int(str(body["hold_time"]).removesuffix("ms")) / 1000
        now = self._loop.time()
        for low, high, token, _ in self._grants:
            if low <= last and first <= high and token > fence:
                return Response(409)
        self._grants = [
            row for row in self._grants if row[:3] != (first, last, fence)
        ]
        self._grants.append((first, last, fence, now + hold_s))
        self._promises.granted(
            self.life,
            first,
            last,
            fence,
            now=now,
            until=now + hold_s,
            counts=not self._thawed(),
        )
        return Response(200)

    async def _release(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        now = self._loop.time()
        rows: list[tuple[int, int, int, float]] = []
        for low, high, fence, until in self._grants:
            if high < first or low > last:
                rows.append((low, high, fence, until))
                continue
            rows.append((max(low, first), min(high, last), fence, now))
            if low < first:
                rows.append((low, first - 1, fence, until))
            if high > last:
                rows.append((last + 1, high, fence, until))
        self._grants = rows
        while self._working:
            await asyncio.sleep(0.002)
        self._promises.released(self.life, first, last, self._loop.time())
        return Response(200, [("Handover", f"h{first}-{last}")])

    async def _run(self, req: Request) -> Response:
        request_id = req.header("attempt-id") or ""
        headers = [("Attempt-Id", request_id)]
        if req.header("expected-instance") != self._name:
            return Response(421, headers)
        now = self._loop.time()
        text = req.header("shard-key") if self.service == "records" else None
        key = int(text) if text else None
        if key is not None and not any(
            low <= key <= high and until > now
            for low, high, _, until in self._grants
        ):
            return Response(421, [*headers, ("Not-Executed", "1")])
        self._check_leaving(now)
        life = self.life
        self._promises.began(
            life, request_id, unsafe=req.method == "POST", key=key, now=now
        )
        self._working += 1
        try:
            await asyncio.sleep(_WORK_S)
        finally:
            self._working -= 1
        headers.append(("Server-Seal", life))
        return Response(200, headers, request_id.encode())

    def _check_leaving(self, now: float) -> None:
        if self._calm_s() < TOUCH_S:
            return
        if self._left_at is not None:
            self._promises.reached_leaving(
                self.life,
                bound_s=DRAIN_S,
                after_s=now - self._left_at,
                now=now,
            )
        self._promises.reached_leaving(
            self.life, bound_s=EVACUATION_S, after_s=self._out_for_s(), now=now
        )
