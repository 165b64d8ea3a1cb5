"""A TCP relay that can drop all traffic of its connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager


class BlackholeRelay:
    """
    Relays connections to a local port.

    :ivar opened: number of connections accepted so far.
    :ivar address: the relay's own ``ip:port``.
    """

    def __init__(self, port):
        self._port = port
        self._open = set()
        self._tasks = set()
        self.opened = 0
        self.address = ""

    def drop_traffic(self):
        """
        Drop all further traffic of the present connections, both ways.

        They stay open; new connections are relayed.
        """
        self._open.clear()

    async def serve(self, reader, writer):
        self.opened += 1
        number = self.opened
        self._open.add(number)
        upstream = await asyncio.open_connection("127.0.0.1", self._port)
        for source, sink in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.create_task(self._pump(number, source, sink))
            self._tasks.add(task)

    async def _pump(self, number, source, sink):
        while data := await source.read(65536):
            if number in self._open:
                sink.write(data)
        if number in self._open:
            sink.close()

    def stop(self):
        for task in self._tasks:
            task.cancel()


@asynccontextmanager
async def open_blackhole_relay(port):
    relay = BlackholeRelay(port)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    relay.address = f"127.0.0.1:{port}"
    try:
        yield relay
    finally:
        relay.stop()
        server.close()
