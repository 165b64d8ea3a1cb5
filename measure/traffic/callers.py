"""Open-loop load: requests are sent at a rate, answered or not."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING

import anyio

from measure.traffic.answer import Answer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.cluster import Server

_ANSWER_TIMEOUT_S = 10.0
_HTTP_PORT = 8080


class Callers:
    """
    Sends requests to random daemons over persistent connections.

    :param service: the service to call.
    :param servers: the daemons to send to.
    :param seed: seed of the choice of daemons.
    :param timeout_ms: timeout that each request's header gives.
    :ivar answers: the answers of all calls of ``run``.
    """

    __slots__ = (
        "_idle",
        "_numbers",
        "_rng",
        "_servers",
        "_service",
        "_timeout_ms",
        "answers",
    )

    def __init__(
        self,
        service: str,
        servers: Sequence[Server],
        *,
        seed: int,
        timeout_ms: int = 3000,
    ) -> None:
        self.answers: list[Answer] = []
        self._service = service
        self._servers = list(servers)
        self._rng = random.Random(seed)
        self._timeout_ms = timeout_ms
        self._numbers = itertools.count()
        self._idle: dict[
            str, deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
        ] = {server.ip: deque() for server in servers}

    async def run(self, rate: float, seconds: float) -> list[Answer]:
        """
        Send for some time; return the answers in order of sending.

        :param rate: requests per second.
        :param seconds: duration of the sending.
        """
        loop = asyncio.get_running_loop()
        received: list[Answer] = []
        started = loop.time()
        async with anyio.create_task_group() as tasks:
            for count in range(int(rate * seconds)):
                due = started + count / rate
                await anyio.sleep(max(0.0, due - loop.time()))
                tasks.start_soon(self._send, due, received)
        received.sort(key=lambda answer: answer.sent_at)
        self.answers += received
        return received

    async def send_one(self) -> Answer:
        """Send one request and return its answer."""
        received: list[Answer] = []
        await self._send(asyncio.get_running_loop().time(), received)
        return received[0]

    async def _send(self, due: float, received: list[Answer]) -> None:
        loop = asyncio.get_running_loop()
        ip = self._rng.choice(self._servers).ip
        status, verdict, server = 0, "", ""
        try:
            with anyio.fail_after(_ANSWER_TIMEOUT_S):
                status, verdict, server = await self._exchange(ip)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            verdict = "lost"
        received.append(
            Answer(
                sent_at=due,
                elapsed_s=loop.time() - due,
                status=status,
                verdict=verdict,
                server=server,
            )
        )

    async def _exchange(self, ip: str) -> tuple[int, str, str]:
        idle = self._idle[ip]
        if idle:
            reader, writer = idle.pop()
        else:
            reader, writer = await asyncio.open_connection(ip, _HTTP_PORT)
        try:
            writer.write(self._request())
            head = await reader.readuntil(b"\r\n\r\n")
            headers = _parse_headers(head)
            await reader.readexactly(int(headers.get("content-length", "0")))
        except BaseException:
            writer.close()
            raise
        idle.append((reader, writer))
        status = int(head.split(b" ", 2)[1])
        verdict = headers.get("burdockgap-verdict", "")
        return status, verdict, headers.get("burdockgap-owner", "")

    def _request(self) -> bytes:
        return (
            f"GET /{self._service}/x?n={next(self._numbers)} HTTP/1.1\r\n"
            f"host: a\r\nburdockgap-timeout-ms: {self._timeout_ms}\r\n\r\n"
        ).encode()


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}
