"""The called side of the connections between daemons."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from burdockgap.hop.peer_session import PeerSession

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from burdockgap.downlink import Downlink
    from burdockgap.hop.peer_session import Handler
    from burdockgap.resources.byte_counter import ByteCounter
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.uplink import Uplink


@asynccontextmanager
async def open_listener(
    handlers: dict[int, Handler],
    host: str,
    port: int,
    *,
    uplink: Uplink | None = None,
    budget: MemoryBudget | None = None,
    refusals: dict[int, Callable[[], Any]] | None = None,
    link_refusals: dict[int, Callable[[float], Any]] | None = None,
    counter: ByteCounter | None = None,
    downlink: Downlink | None = None,
) -> AsyncIterator[Callable[[], bool]]:
    """
    Serve calls of peers at an address until the context exits.

    The context's value is a function that returns whether a call or a
    part of a reply is in progress.

    On exit, all connections are aborted, which cancels their calls.

    :param handlers: coroutine functions by kind of call; each takes the
        payload and returns the payload of the reply.
    :param host: address to listen at.
    :param port: port to listen at.
    :param uplink: paces what is sent over the machine's network link,
        ``None`` where its bandwidth is not a limit.
    :param budget: bounds the frames of all connections, ``None`` for no
        bound.
    :param refusals: by kind of call, returns the payload of the reply
        to a call for which there is no memory. The connection is closed
        after one of another kind.
    :param link_refusals: by kind of call, returns the payload of the
        reply to a long call that the link has no room for in time,
        given the seconds until it has. Others wait.
    :param counter: counts the bytes of all connections, ``None`` not to
        count them.
    :param downlink: paces what peers send, ``None`` where the bandwidth
        of the machine's link is not a limit.
    """
    loop = asyncio.get_running_loop()
    connections: set[PeerSession] = set()
    listener = await loop.create_server(
        lambda: PeerSession(
            handlers,
            connections,
            uplink=uplink,
            budget=budget,
            refusals=refusals or {},
            link_refusals=link_refusals or {},
            counter=counter,
            downlink=downlink,
        ),
        host,
        port,
        reuse_address=True,
    )
    try:
        yield lambda: any(conn.busy for conn in connections)
    finally:
        listener.close()
        for conn in list(connections):
            conn.close()
