"""A target beside a daemon; reports its events to the checker."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from soak.endless_target import open_endless_target
from soak.invariants import DRAIN_S, EVACUATION_S, UNDISTURBED_S
from soak.long_body import is_intact

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from burdockgap.http1.request import Request
    from burdockgap.http1.server_connection import ServerConnection
    from soak.invariants import InvariantChecker

PORT = 8301
CRASH_PATH = "/crew/crash"
"""A request for it calls ``on_crash``."""
CONTROL_PORT = 8306
_HEARTBEAT_INTERVAL_S = 0.87
_REQUEST_DURATION_S = 0.02
_SLOTS = 8
_ACK_TIMEOUT_S = 1.0
_DEREGISTER_TIMEOUT_S = 6.0
_DEREGISTER_INTERVAL_S = 0.1


class SoakServer:
    """
    A server that can be stopped and started again.

    :param name: the name of its machine.
    :param service: the service that it provides.
    :param host: the address that it listens on.
    :param control: the host of the daemon beside it.
    :param data_centre: its data centre.
    :param checker: records its grants, releases and requests.
    :param grants_may_be_late: tells whether a fault of its daemon may
        have delayed grants.
    :param undisturbed_s: returns the time since the last fault of its
        machine.
    :param evacuated_for_s: returns the time since the evacuation of
        its data centre, 0 if it is not evacuated.
    :ivar on_crash: called when it begins to run a request that crashes
        servers.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        host: str,
        control: str,
        data_centre: str,
        checker: InvariantChecker,
        grants_may_be_late: Callable[[], bool],
        undisturbed_s: Callable[[], float],
        evacuated_for_s: Callable[[], float],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._name = name
        self.service = service
        self._host = host
        self._control = control
        self._data_centre = data_centre
        self._checker = checker
        self._grants_may_be_late = grants_may_be_late
        self._undisturbed_s = undisturbed_s
        self._evacuated_for_s = evacuated_for_s
        self._stack = AsyncExitStack()
        self._start_count = 0
        self._born = 0
        self._left_at: float | None = None
        self._sequence = 0
        self._grants: list[tuple[int, int, int, float]] = []
        self._in_flight = 0
        self._draining_since: float | None = None
        self._leaving_since: float | None = None
        self._limit_since: float | None = None
        self.limit: float | None = None
        self.says_leaving = False
        self._is_endless = False
        self._heartbeats_from = 0.0
        self._silent_connections: list[ServerConnection] = []
        self._http: Server | None = None
        self.is_up = False
        self.on_crash: Callable[[], None] = lambda: None

    def name_limit(self, limit_per_s: float | None) -> None:
        """
        Name a limit in all responses from now on.

        :param limit_per_s: requests per second; ``None`` for no limit.
        """
        self.limit, self._limit_since = limit_per_s, None

    @property
    def incarnation(self) -> str:
        """Identifies the server and its incarnation."""
        return f"{self._name}/{self._start_count}"

    async def start(self) -> None:
        """Start listening as a new incarnation, if not misbehaving."""
        if self._is_endless:
            return
        self._start_count += 1
        # Two starts may fall into one millisecond.
        self._born = max(time.time_ns() // 1_000_000, self._born + 1)
        self._sequence, self._draining_since = 0, None
        self.deregisters, self._left_at = False, None
        self._leaving_since = self._limit_since = None
        self.says_leaving = False
        self._grants = []
        self._http = Server(partial(self._answer_as, self._start_count))
        await self._stack.enter_async_context(
            open_server(self._http, self._host, PORT)
        )
        self.is_up = True

    def go_dark(self) -> None:
        """
        End as a machine without power: no connection is closed.

        New connections are accepted and silent as well.
        """
        self.is_up = False
        self._checker.record_end(self.incarnation, self._loop.time())

    async def return_from_dark(
        self, *, heartbeat_after_s: float, late_heartbeat: bool
    ) -> None:
        """
        Start as a new incarnation; earlier connections stay silent.

        :param heartbeat_after_s: time until its first heartbeat.
        :param late_heartbeat: whether one of the incarnation before
            arrives half-way until then.
        """
        late = self._encode_heartbeat(draining=False)
        if self._http is not None:
            self._silent_connections += self._http.connections
            self._http.connections.clear()
        await self._stack.aclose()
        self._heartbeats_from = self._loop.time() + heartbeat_after_s
        await self.start()
        if late_heartbeat:
            await asyncio.sleep(heartbeat_after_s / 2)
            pool = self._control_pool()
            await self._is_acknowledged(pool, late)
            pool.close()

    def close_silent_connections(self) -> None:
        """Close the connections to incarnations that went dark."""
        for conn in self._silent_connections:
            conn.close()
        self._silent_connections.clear()

    async def stop(self) -> None:
        """Stop without a drain or a release, as in a crash."""
        self.is_up = False
        self._checker.record_end(self.incarnation, self._loop.time())
        await self._stack.aclose()

    async def send_endlessly(self, rng: random.Random, seconds: float) -> None:
        """
        Answer all requests without end, then start anew.

        The heartbeats continue meanwhile.

        :param rng: chooses what is sent.
        """
        await self.stop()
        self._is_endless = True
        async with open_endless_target(self._host, PORT, rng):
            await asyncio.sleep(seconds)
        self._is_endless = False
        await self.start()

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the daemon until cancelled."""
        pool = self._control_pool()
        draining = False
        while True:
            is_running = self.is_up or self._is_endless
            if self._loop.time() < self._heartbeats_from:
                is_running = False
            if is_running and not self.deregisters:
                draining, incarnation = self.draining, self.incarnation
                acked = await self._send_heartbeat(pool, draining=draining)
                if (
                    acked
                    and draining
                    and self.incarnation == incarnation
                    and self._draining_since is None
                ):
                    self._draining_since = self._loop.time()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    draining = False
    deregisters = False

    async def deregister(self) -> None:
        """
        Deregister without a drain, and send no more heartbeats.

        Gives up after some seconds without an acknowledgement.
        """
        self.deregisters = True
        incarnation = self.incarnation
        pool = self._control_pool()
        data = encode_request(
            "DELETE",
            f"/api/instances/{self._name}",
            [("host", self._control)],
        )
        deadline = self._loop.time() + _DEREGISTER_TIMEOUT_S
        while self._loop.time() < deadline and self.incarnation == incarnation:
            if await self._is_acknowledged(pool, data):
                # It may have started anew, and that one has not left.
                if self.incarnation == incarnation:
                    self._left_at = self._loop.time()
                break
            await asyncio.sleep(_DEREGISTER_INTERVAL_S)
        pool.close()

    async def send_late_heartbeat(self) -> None:
        """Send a heartbeat as those before the server left."""
        pool = self._control_pool()
        await self._send_heartbeat(pool, draining=False)
        pool.close()

    def _control_pool(self) -> ClientPool:
        return ClientPool(
            (self._control, CONTROL_PORT), connect_timeout_s=0.5, idle_s=5.0
        )

    async def _send_heartbeat(
        self, pool: ClientPool, *, draining: bool
    ) -> bool:
        data = self._encode_heartbeat(draining=draining)
        return await self._is_acknowledged(pool, data)

    def _encode_heartbeat(self, *, draining: bool) -> bytes:
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
            "born": self._born,
        }
        return encode_request(
            "PUT",
            f"/api/instances/{self._name}",
            [("host", self._control)],
            json.dumps(body).encode(),
        )

    async def _is_acknowledged(self, pool: ClientPool, data: bytes) -> bool:
        with suppress(ExchangeError, TimeoutError):
            async with asyncio.timeout(_ACK_TIMEOUT_S):
                return (await pool.exchange(data)).is_success
        return False

    async def _answer_as(self, start_count: int, req: Request) -> Response:
        if not self.is_up or start_count != self._start_count:
            await self._loop.create_future()
        return await self._answer(req)

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
        self._checker.record_grant(
            self.incarnation,
            first,
            last,
            fence,
            now=now,
            expires_at=now + hold_s,
            counts=not self._grants_may_be_late(),
        )
        return Response(200)

    async def _release(self, body: dict[str, object]) -> Response:
        first, last = int(str(body["from"])), int(str(body["to"]))
        now = self._loop.time()
        rows: list[tuple[int, int, int, float]] = []
        for low, high, fence, expires_at in self._grants:
            if high < first or low > last:
                rows.append((low, high, fence, expires_at))
                continue
            rows.append((max(low, first), min(high, last), fence, now))
            if low < first:
                rows.append((low, first - 1, fence, expires_at))
            if high > last:
                rows.append((last + 1, high, fence, expires_at))
        self._grants = rows
        while self._in_flight:
            await asyncio.sleep(0.002)
        self._checker.record_release(
            self.incarnation, first, last, self._loop.time()
        )
        return Response(200, [("Handover", f"h{first}-{last}")])

    async def _run(self, req: Request) -> Response:
        request_id = req.header("attempt-id") or ""
        headers = [("Attempt-Id", request_id)]
        if req.header("expected-instance") != self._name:
            return Response(421, headers)
        now = self._loop.time()
        self._check_notices(now)
        headers += self._notices(now)
        text = req.header("shard-key") if self.service == "records" else None
        key = int(text) if text else None
        if key is not None and not any(
            low <= key <= high and expires_at > now
            for low, high, _, expires_at in self._grants
        ):
            return Response(421, [*headers, ("Not-Executed", "1")])
        self._check_drain_bounds(now)
        incarnation = self.incarnation
        self._checker.record_run(
            incarnation,
            request_id,
            unsafe=req.method == "POST",
            key=key,
            now=now,
        )
        if not is_intact(req.body, request_id):
            self._checker.record_changed_body(incarnation, now)
        if req.path == CRASH_PATH:
            self.on_crash()
        self._in_flight += 1
        try:
            await asyncio.sleep(_REQUEST_DURATION_S)
        finally:
            self._in_flight -= 1
        headers.append(("Server-Seal", incarnation))
        return Response(200, headers, request_id.encode())

    def _notices(self, now: float) -> list[tuple[str, str]]:
        notices = []
        if self.limit is not None:
            notices.append(("Server-Limit", f"{self.limit:.2f}"))
            if self._limit_since is None:
                self._limit_since = now
        if self.says_leaving:
            notices.append(("Server-Leaving", "1"))
            if self._leaving_since is None:
                self._leaving_since = now
        return notices

    def _check_notices(self, now: float) -> None:
        if self._undisturbed_s() < UNDISTURBED_S:
            return
        if self._leaving_since is not None:
            self._checker.record_request_while_draining(
                self.incarnation,
                bound_s=DRAIN_S,
                after_s=now - self._leaving_since - _REQUEST_DURATION_S,
                now=now,
            )
        if self.limit is not None and self._limit_since is not None:
            self._checker.record_limited_request(
                self.incarnation,
                limit_per_s=self.limit,
                named_s=now - self._limit_since,
                now=now,
            )

    def _check_drain_bounds(self, now: float) -> None:
        # An acknowledged departure binds also after a restart.
        if self._left_at is not None and not self._grants_may_be_late():
            self._checker.record_request_while_draining(
                self.incarnation,
                bound_s=DRAIN_S,
                after_s=now - self._left_at,
                now=now,
            )
        if self._undisturbed_s() < UNDISTURBED_S:
            return
        if self._draining_since is not None:
            self._checker.record_request_while_draining(
                self.incarnation,
                bound_s=DRAIN_S,
                after_s=now - self._draining_since,
                now=now,
            )
        self._checker.record_request_while_draining(
            self.incarnation,
            bound_s=EVACUATION_S,
            after_s=self._evacuated_for_s(),
            now=now,
        )
