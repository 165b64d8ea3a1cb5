"""A server that rejects some requests and repeats some answers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.http1.encode import encode_response
from burdockgap.http1.request import Request
from burdockgap.http1.response import Response
from review.common.server import AppServer

if TYPE_CHECKING:
    from typing import Any


class GarbledServer(AppServer):
    """
    A server whose connections can be garbled.

    A second copy of an answer comes at the point where the next answer
    on that connection is expected.

    :ivar shed_share: share of the requests that it rejects as not
        executed.
    :ivar extra_share: share of the answers of which it sends a second
        copy.
    :ivar answers: answers to requests so far.
    :ivar extras: second copies sent so far.
    """

    def __init__(self, name: str, **fields: Any) -> None:
        super().__init__(name, **fields)
        self.shed_share = 0.0
        self.extra_share = 0.0
        self.answers = 0
        self.extras = 0
        self._rng = random.Random(name)
        self._listener: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for requests."""
        self._listener = await asyncio.start_server(
            self._accept, *self.address
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections.discard(task)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late_copy = b""
        while True:
            req = await _read_request(reader)
            if late_copy:
                self.extras += 1
                self._record.write(f"{self.name} sends a late second answer")
                writer.write(late_copy)
                late_copy = b""
            response = await self.answer(req)
            data = encode_response(
                response.status, response.headers, response.body
            )
            writer.write(data)
            await writer.drain()
            if req.path.startswith("/api/"):
                continue
            self.answers += 1
            if self._rng.random() < self.extra_share:
                late_copy = data

    async def _run(self, req: Request) -> Response:
        if self._rng.random() < self.shed_share:
            request_id = req.header("attempt-id") or ""
            self._record.write(f"{self.name} rejects {request_id}")
            return Response(
                503, [("Attempt-Id", request_id), ("Not-Executed", "1")]
            )
        return await super()._run(req)


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    size = int(dict(headers).get("content-length", "0"))
    body = await reader.readexactly(size)
    return Request(method=method, target=target, headers=headers, body=body)
