"""A relay whose machines have links of limited bandwidth."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from standins.relay.relay import Relay

if TYPE_CHECKING:
    from typing import Any

    from anyio.abc import SocketStream, TaskGroup

_CHUNK_BYTES = 16 * 1024


class _Egress:
    """What a machine sends to others, at a limited rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._turn = anyio.Lock()
        self.sent_bytes = 0

    async def send(self, target: SocketStream, data: bytes) -> None:
        async with self._turn:
            await anyio.sleep(len(data) / self._bytes_per_s)
        self.sent_bytes += len(data)
        await target.send(data)


class SlowRelay(Relay):
    """
    Limits what each machine sends to other machines.

    :ivar egress: the links out of the machines, by name.
    """

    LINK_BYTES_PER_S = 625_000.0

    def __init__(self, **fields: Any) -> None:
        super().__init__(**fields)
        self.egress = {
            route.name: _Egress(self.LINK_BYTES_PER_S)
            for route in fields["routes"]
        }

    async def _forward_stream(
        self,
        stream: SocketStream,
        source: str,
        target: str,
        host: str,
        port: int,
    ) -> None:
        if target not in self.egress:
            await super()._forward_stream(stream, source, target, host, port)
            return
        try:
            upstream = await anyio.connect_tcp(host, port)
        except OSError:
            return
        async with upstream, anyio.create_task_group() as tasks:
            tasks.start_soon(
                _copy, stream, upstream, self.egress[source], tasks
            )
            tasks.start_soon(
                _copy, upstream, stream, self.egress[target], tasks
            )


async def _copy(
    source: SocketStream,
    target: SocketStream,
    egress: _Egress,
    tasks: TaskGroup,
) -> None:
    """Copy bytes until either side closes, then cancel the tasks."""
    try:
        while True:
            await egress.send(target, await source.receive(_CHUNK_BYTES))
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        tasks.cancel_scope.cancel()
