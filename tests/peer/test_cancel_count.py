"""
Timeouts of a task after a gRPC connection was lost.

The gRPC library raises the task's cancellation count when a stream
ends. If the count stays raised, a later timeout of the task does not
end as a timeout.
"""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import anyio.abc
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import StreamTerminatedError

from burdockgap.peer.cancel_count import restored_cancel_count
from burdockgap.peer.codec import PeerCodec
from burdockgap.peer.messages.done import Done
from burdockgap.peer.messages.ping import Ping
from burdockgap.peer.method import PING


@asynccontextmanager
async def closing_server():
    """Serve connections that are closed after the first data."""

    async def close_after_request(stream):
        async with stream:
            await stream.receive()
            await anyio.sleep(0.1)

    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, close_after_request)
        yield listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.cancel_scope.cancel()


async def call_closed_connection(port):
    channel = Channel("127.0.0.1", port, codec=PeerCodec())
    try:
        call = UnaryUnaryMethod(channel, PING.path, Ping, Done)
        with pytest.raises(StreamTerminatedError), restored_cancel_count():
            await call(Ping())
    finally:
        channel.close()


def test_timeout_after_connection_lost():
    async def main():
        async with closing_server() as port:
            with anyio.move_on_after(0.5) as scope:
                await call_closed_connection(port)
                await anyio.sleep(5)
            return scope.cancelled_caught

    assert anyio.run(main)
