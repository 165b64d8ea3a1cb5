"""A stand-in for an application server."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Protocol

from review.common2.web import Message, Reply, WebServer, send

if TYPE_CHECKING:
    from collections.abc import Iterator

    from review.common2.record import Record

PORT = 8301
CONTROL_PORT = 8306
_HEARTBEAT_S = 0.87
_ACK_TIMEOUT_S = 1.0


class Work(Protocol):
    """What a server does with a request that it runs."""

    async def __call__(self, server: AppServer, req: Message) -> Reply | None:
        """Return the answer, ``None`` to break the connection off."""
        ...


class AppServer:
    """
    A server that can end and start again.

    :param name: the name of its machine, part of its instance ids.
    :param host: the address of its machine.
    :param service: its service.
    :param zone: its zone.
    :param record: records what it runs.
    :param work: what it does with a request.
    :param slots: requests that it runs at once.
    :ivar state: what its heartbeats say.
    :ivar cold_until: until when it is cold, in seconds of the
        monotonic clock.
    :ivar clock_ahead_s: how far its machine's time of day is ahead.
    :ivar keeps_id: whether it starts again under its instance id.
    :ivar is_up: whether it listens.
    :ivar instance_id: id of its current incarnation.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        service: str,
        zone: str,
        record: Record,
        work: Work,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self._host = host
        self._zone = zone
        self._work = work
        self._web = WebServer(self._answer)
        self._heartbeats: asyncio.Task[None] | None = None
        self._starts = 0
        self._sequence = 0
        self._born = 0
        self._running = 0
        self._beat = asyncio.Event()
        self.state = "ready"
        self.cold_until = 0.0
        self.clock_ahead_s = 0.0
        self.keeps_id = False
        self.is_up = False
        self.instance_id = ""

    async def start(self) -> None:
        """Start a new incarnation, which sends heartbeats."""
        self._starts += not self.keeps_id or not self._starts
        self._sequence = self._running = 0
        self._born = int((time.time() + self.clock_ahead_s) * 1000)
        self.state = "ready"
        self.instance_id = f"i-{self.name}-{self._starts}"
        self._web = WebServer(self._answer)
        await self._web.open(self._host, PORT)
        self.is_up = True
        self.record.write("server-start", id=self.instance_id, born=self._born)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def end(self, why: str) -> None:
        """End as a process that crashes or is killed."""
        if not self.is_up:
            return
        self.is_up = False
        self.record.write("server-end", id=self.instance_id, why=why)
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._web.close()

    @property
    def cold_s(self) -> float:
        """How long it stays cold, in seconds."""
        return max(self.cold_until - time.monotonic(), 0.0)

    def next_heartbeat(self) -> tuple[str, bytes]:
        """Return path and body of the next heartbeat."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self._host}:{PORT}",
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining": f"{int(self.cold_s * 1000)}ms",
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/api/instances/{self.instance_id}"
        return path, json.dumps(body).encode()

    async def heartbeat(self, call: tuple[str, bytes] | None = None) -> bool:
        """
        Send a heartbeat; return whether it was acknowledged.

        :param call: its path and body, the next one if omitted.
        """
        path, body = call or self.next_heartbeat()
        reply = await send(
            (self._host, CONTROL_PORT),
            "PUT",
            path,
            {"Host": self._host, "Content-Type": "application/json"},
            body,
            timeout_s=_ACK_TIMEOUT_S,
        )
        return reply is not None and reply.status == 200

    async def keys_call(self, req: Message) -> Reply:  # noqa: ARG002
        """Answer a grant or a release; this service has no keys."""
        return Reply(404)

    def may_run(self, req: Message) -> bool:  # noqa: ARG002
        """Return whether the server may run a request."""
        return True

    @contextmanager
    def at_work(self, req: Message) -> Iterator[None]:  # noqa: ARG002
        """Note that a request is running while the context is open."""
        yield

    async def next_beat(self) -> None:
        """Return when the next regular heartbeat has been sent."""
        self._beat.clear()
        await self._beat.wait()

    async def _send_heartbeats(self) -> None:
        while True:
            await self.heartbeat()
            self._beat.set()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _answer(self, req: Message) -> Reply | None:
        attempt = req.headers.get("attempt-id", "")
        load = f"{self._running},0,{self.slots},100"
        headers = {"Attempt-Id": attempt, "Server-Load": load}
        if req.target == "/health":
            headers["Instance-Id"] = self.instance_id
            headers["Cold-Milliseconds"] = str(int(self.cold_s * 1000))
            return Reply(200, headers)
        if req.target in ("/api/grant", "/api/release"):
            return await self.keys_call(req)
        if req.headers.get("expected-instance") != self.instance_id:
            return Reply(421, headers)
        if not attempt:
            return Reply(400, {**headers, "Not-Executed": "1"})
        if self._running >= self.slots:
            return Reply(503, {**headers, "Not-Executed": "1"})
        if not self.may_run(req):
            return Reply(421, {**headers, "Not-Executed": "1"})
        self._running += 1
        self.record.write(
            "run", server=self.instance_id, attempt=attempt, path=req.target
        )
        try:
            with self.at_work(req):
                reply = await self._work(self, req)
        finally:
            self._running -= 1
        if reply is not None:
            reply.headers = {**headers, **reply.headers}
        return reply


def success(body: bytes) -> Reply:
    """Return a sealed success."""
    return Reply(200, {"Server-Seal": "3e1b.07.5a2"}, body)
