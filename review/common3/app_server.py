"""A stand-in for an application server, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING

from review.common3.web import (
    Message,
    encode_request,
    encode_response,
    exchange,
    serve_connection,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from review.common3.record import Record

HEARTBEAT_S = 0.87


class AppServer:
    """
    A server that runs requests and sends heartbeats to its daemon.

    :param name: its instance id.
    :param service: its service.
    :param host: address that it listens at.
    :param port: port that it listens at.
    :param control: address and port for its heartbeats.
    :param zone: its zone.
    :param record: receives what it runs.
    :param slots: requests that it runs at once; others wait.
    :param run: runs one request, and returns status and body.
    :ivar cold_until: until when it is cold, on the monotonic clock.
    :ivar state: the state that its heartbeats tell.
    :ivar born: when it started, as its clock says, in milliseconds.
    :ivar beat_at: when its last heartbeat was answered.
    :ivar listen_port: port that it listens at, if not ``port``.
    :ivar first_beat_after_s: time from its start to its first beat.
    :ivar is_cut: whether a partition holds its heartbeats up.
    :ivar held_up: these heartbeats, oldest first.
    :ivar notices: headers that it adds to its responses.
    :ivar began: ids of the requests that it began to run, with times.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        host: str,
        port: int,
        control: tuple[str, int],
        zone: str,
        record: Record,
        slots: int = 6,
        run: Callable[[Message], Awaitable[tuple[int, bytes]]] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.control = control
        self.zone = zone
        self.record = record
        self.slots = slots
        self.run = run or _run_briefly
        self.cold_until = 0.0
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.beat_at = 0.0
        self.listen_port = port
        self.first_beat_after_s = 0.0
        self.is_cut = False
        self.held_up: list[bytes] = []
        self.notices: dict[str, str] = {}
        self.began: list[tuple[float, str]] = []
        self._slot = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.listen_port, limit=1 << 20
        )
        self._tasks = [asyncio.create_task(self._send_heartbeats())]

    async def crash(self) -> None:
        """End at once, with all connections, and send nothing."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def deliver(self, beat: bytes) -> int | None:
        """Deliver a heartbeat; return the status of the response."""
        response = await exchange(*self.control, beat, timeout_s=1.0)
        if response is not None:
            self.beat_at = time.monotonic()
        return response.status if response is not None else None

    async def deregister(self) -> int | None:
        """Send a DELETE and no more heartbeats; return the status."""
        for task in self._tasks:
            task.cancel()
        data = encode_request(
            "DELETE",
            f"/api/instances/{self.name}",
            {"Host": self.control[0]},
        )
        response = await exchange(*self.control, data, timeout_s=1.0)
        return response.status if response is not None else None

    def make_beat(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining": f"{self._cold_ms()}ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        return encode_request(
            "PUT",
            f"/api/instances/{self.name}",
            {"Host": self.control[0], "Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    def _cold_ms(self) -> int:
        return max(int((self.cold_until - time.monotonic()) * 1000), 0)

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.first_beat_after_s)
        while True:
            beat = self.make_beat()
            if self.is_cut:
                self.held_up.append(beat)
            else:
                await self.deliver(beat)
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        await serve_connection(reader, writer, self._answer)
        self._writers.discard(writer)

    async def _answer(self, req: Message) -> bytes | None:
        path = req.start[1]
        if path == "/health":
            headers = {
                "Instance-Id": self.name,
                "Cold-Milliseconds": str(self._cold_ms()),
            }
            return encode_response(200, headers)
        request_id = req.headers.get("attempt-id")
        if request_id is None:
            return encode_response(400, {"Not-Executed": "1"})
        headers = {"Attempt-Id": request_id, **self.notices}
        if req.headers.get("expected-instance") != self.name:
            return encode_response(421, {**headers, "Not-Executed": "1"})
        async with self._slot:
            self.began.append((time.monotonic(), request_id))
            self.record.write(
                "run",
                id=request_id,
                server=self.name,
                method=req.start[0],
                path=path,
            )
            status, body = await self.run(req)
        headers["Server-Seal"] = f"seal-{request_id}"
        headers["Server-Load"] = f"0,0,{self.slots},100"
        return encode_response(status, headers, body)


async def _run_briefly(req: Message) -> tuple[int, bytes]:
    await asyncio.sleep(0.02)
    return 200, b"answer to " + req.headers["attempt-id"].encode()
