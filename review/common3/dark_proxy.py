"""A proxy in front of a server that can lose its power."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

_BACKLOG = 0
_MAX_FILLERS = 8
_FILL_TIMEOUT_S = 0.2


class DarkProxy:
    """
    Passes connections on to a server, unless that is dark.

    While it is dark, open connections are silent and new ones hang, as
    those to a machine without power. What is sent on an earlier
    connection afterwards is answered by a reset.

    :param host: address of proxy and server.
    :param port: the port that the server tells to others.
    :param server_port: the port that the server listens at.
    """

    def __init__(self, host: str, port: int, server_port: int) -> None:
        self._host = host
        self._port = port
        self._server_port = server_port
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._life = 0
        self._dark = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []

    async def start(self) -> None:
        """Listen and pass connections on."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((self._host, self._port))
        listener.listen(_BACKLOG)
        self._listener = listener
        self._accepting = asyncio.create_task(self._accept())

    async def go_dark(self) -> None:
        """Let open connections be silent and new ones hang."""
        self._dark = True
        self._life += 1
        if self._accepting is not None:
            self._accepting.cancel()
        # A full queue of new connections drops further ones.
        loop = asyncio.get_running_loop()
        for _ in range(_MAX_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                async with asyncio.timeout(_FILL_TIMEOUT_S):
                    await loop.sock_connect(filler, (self._host, self._port))
            except TimeoutError:
                return

    def come_back(self) -> None:
        """Pass new connections on; earlier ones stay useless."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._dark = False
        self._accepting = asyncio.create_task(self._accept())

    def close(self) -> None:
        """End all connections."""
        for task in [*self._tasks, self._accepting]:
            if task is not None:
                task.cancel()
        if self._listener is not None:
            self._listener.close()

    async def _accept(self) -> None:
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            task = asyncio.create_task(self._relay(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _relay(self, sock: socket.socket) -> None:
        life = self._life
        client = await asyncio.open_connection(sock=sock)
        try:
            server = await asyncio.open_connection(
                self._host, self._server_port
            )
        except OSError:
            client[1].transport.abort()
            return
        await asyncio.gather(
            self._pump(client[0], server[1], client[1], life),
            self._pump(server[0], client[1], client[1], life),
        )

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        client: asyncio.StreamWriter,
        life: int,
    ) -> None:
        with suppress(OSError):
            while data := await source.read(65536):
                if life == self._life:
                    sink.write(data)
                    await sink.drain()
                elif not self._dark and sink is not client:
                    # Sent to a process that no longer exists.
                    client.transport.abort()
                    return
        if life == self._life or sink is not client:
            sink.close()
