"""A server of the users' platform that records its work."""

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

if TYPE_CHECKING:
    from burdockgap.http1.request import Request
    from review.common.record import Record

HEARTBEAT_INTERVAL_S = 0.87
_ACK_TIMEOUT_S = 1.0


class Hold:
    """
    A range of keys that a server holds for some time.

    :param first: first key.
    :param last: last key, included.
    :param fence: the fencing token.
    :param since: when the grant was applied, in seconds.
    :param until: when it ends, in seconds.
    """

    __slots__ = ("fence", "first", "last", "since", "until")

    def __init__(
        self, first: int, last: int, fence: int, since: float, until: float
    ) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.since = since
        self.until = until


class Run:
    """
    A request that a server has begun.

    :param request_id: its id.
    :param path: its path.
    :param key: its key, ``None`` if it has none.
    :param at: when the server began it, in seconds.
    """

    __slots__ = ("at", "key", "path", "request_id")

    def __init__(
        self, request_id: str, path: str, key: int | None, at: float
    ) -> None:
        self.request_id = request_id
        self.path = path
        self.key = key
        self.at = at


class AppServer:
    """
    Runs requests, holds keys and announces itself to its daemon.

    :param name: the server's instance id.
    :param service: its service.
    :param address: where it listens.
    :param control: where its daemon takes heartbeats.
    :param zone: its zone.
    :param record: where its events are written.
    :param keyed: whether it runs requests only on keys that it holds.
    :param work_s: duration of a request, in seconds.
    :param slots: requests that it runs at once; one more waits in turn.
    :ivar padding: bytes at the end of each answer's body.
    :ivar holds: all holds so far, oldest first.
    :ivar runs: all requests that were begun, oldest first.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        zone: str,
        record: Record,
        keyed: bool = False,
        work_s: float = 0.02,
        slots: int = 8,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.keyed = keyed
        self.work_s = work_s
        self.slots = slots
        self.padding = b""
        self.born = 1_700_000_000_000
        self.holds: list[Hold] = []
        self.runs: list[Run] = []
        self._control = control
        self._record = record
        self._sequence = 0
        self._in_flight = 0
        self._turns = asyncio.Semaphore(slots)
        self._stack = AsyncExitStack()

    async def start(self) -> None:
        """Listen for requests."""
        await self._stack.enter_async_context(
            open_server(Server(self.answer), *self.address)
        )

    async def stop(self) -> None:
        """Stop listening."""
        await self._stack.aclose()

    async def send_heartbeats(self) -> None:
        """Announce the server until cancelled."""
        pool = ClientPool(self._control, connect_timeout_s=0.5, idle_s=5.0)
        while True:
            with suppress(ExchangeError, TimeoutError):
                async with asyncio.timeout(_ACK_TIMEOUT_S):
                    await pool.exchange(self._heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat(self) -> bytes:
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining": "0ms",
            "sequence": self._sequence,
            "born": self.born,
        }
        return encode_request(
            "PUT",
            f"/api/instances/{self.name}",
            [("host", "control"), ("content-type", "application/json")],
            json.dumps(body).encode(),
        )

    async def answer(self, req: Request) -> Response:
        """Answer a grant, a release or a request."""
        if req.path == "/api/grant":
            return self._grant(json.loads(req.body))
        if req.path == "/api/release":
            return await self._release(json.loads(req.body))
        return await self._run(req)

    def holds_key(self, key: int, now: float) -> bool:
        """Return whether a hold on a key is in force."""
        return any(
            hold.first <= key <= hold.last and hold.until > now
            for hold in self.holds
        )

    def _grant(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        fence = int(str(body["fence"]))
        hold_s = int(str(body["hold_time"]).removesuffix("ms")) / 1000
        now = asyncio.get_running_loop().time()
        overlapping = [
            hold
            for hold in self.holds
            if hold.first <= last and first <= hold.last
        ]
        if any(hold.fence > fence for hold in overlapping):
            self._note("grant refused", first, last, fence)
            return Response(409)
        for hold in overlapping:
            if (hold.first, hold.last, hold.fence) == (
                first,
                last,
                fence,
            ) and (hold.until >= now):
                hold.until = max(hold.until, now + hold_s)
                return Response(200)
        self.holds.append(Hold(first, last, fence, now, now + hold_s))
        self._note("grant", first, last, fence)
        return Response(200)

    async def _release(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        fence = int(str(body["fence"]))
        now = asyncio.get_running_loop().time()
        for hold in list(self.holds):
            if hold.until <= now or hold.last < first or hold.first > last:
                continue
            parts = ((hold.first, first - 1), (last + 1, hold.last))
            for low, high in parts:
                if low <= high:
                    self.holds.append(
                        Hold(low, high, hold.fence, now, hold.until)
                    )
            hold.until = now
        self._note("release", first, last, fence)
        while self._in_flight:
            await asyncio.sleep(0.002)
        return Response(200, [("Handover", f"h{first}-{last}")])

    async def _run(self, req: Request) -> Response:
        request_id = req.header("attempt-id") or ""
        headers = [("Attempt-Id", request_id)]
        if req.header("expected-instance") != self.name:
            return Response(421, [*headers, ("Not-Executed", "1")])
        text = req.header("shard-key") if self.keyed else None
        key = int(text) if text is not None else None
        async with self._turns:
            now = asyncio.get_running_loop().time()
            if self.keyed and (key is None or not self.holds_key(key, now)):
                return Response(421, [*headers, ("Not-Executed", "1")])
            self.runs.append(Run(request_id, req.path, key, now))
            self._record.write(f"{self.name} runs {request_id} key={key}")
            self._in_flight += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._in_flight -= 1
        headers.append(("Server-Seal", f"seal.{request_id}"))
        body = request_id.encode() + self.padding
        return Response(200, headers, body)

    def _note(self, what: str, first: int, last: int, fence: int) -> None:
        self._record.write(f"{self.name} {what} {first}-{last} fence={fence}")
