"""Running of a daemon beside a server, from start to stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import uvloop

from burdockgap.fleet.datagrams import open_datagrams
from burdockgap.hop.listener import open_listener
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.logs.line_writer import LineWriter
from burdockgap.platform.announcements import ControlSurface
from burdockgap.platform.store_client import StoreClient
from burdockgap.sidecar.metrics import SidecarMetrics
from burdockgap.sidecar.node import Node
from burdockgap.sidecar.peer_answers import PeerAnswers

if TYPE_CHECKING:
    from burdockgap.http1.request import Request
    from burdockgap.sidecar.sidecar_settings import SidecarSettings

_STAY_S = 2.6
"""Two questions of the platform, so that callers have been sent
away."""
_TAKES_SHARE = 0.6
"""Share of the grace time in which new requests are served."""
_GRACE_SHARE = 0.93
"""Share of the grace time after which the process ends in any case."""
_POLL_S = 0.05
METRICS_PORT = 9464
"""Also named in deploy/system.toml."""
METRICS_PATH = "/metrics"
_TEXT = [("content-type", "text/plain; version=0.0.4; charset=utf-8")]


def run_sidecar(cfg: SidecarSettings) -> int:
    """
    Run a daemon until it is told to stop.

    :return: 0 if nothing was cut off, else 1.
    """
    return uvloop.run(_run(cfg))


async def _run(cfg: SidecarSettings) -> int:
    metrics = SidecarMetrics()
    lines = LineWriter(
        fd=sys.stdout.fileno(), name=cfg.name, count=metrics.count
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: lines.write("reload", {"changed": []})
    )
    async with AsyncExitStack() as stack:
        datagrams = await stack.enter_async_context(
            open_datagrams(cfg.peer_host, cfg.peer_port)
        )
        node = Node(
            cfg=cfg,
            store=StoreClient(cfg.store),
            datagrams=datagrams,
            lines=lines,
            metrics=metrics,
        )

        async def answer_metrics(req: Request) -> Response:
            if req.path != METRICS_PATH:
                return Response(404)
            return Response(200, _TEXT, metrics.expose())

        surface = ControlSurface(
            announced=node.announced,
            left=node.target.leaving,
            is_ready=lambda: node.is_ready,
            on_event=lines.write,
        )
        node.callers = Server(
            node.answer_caller,
            on_malformed=lambda status: lines.write(
                "malformed_request", {"status": status}
            ),
            uplink=node.uplink,
        )
        await stack.enter_async_context(
            open_listener(
                PeerAnswers(node).handlers(),
                cfg.peer_host,
                cfg.peer_port,
                uplink=node.uplink,
            )
        )
        for server, address in (
            (Server(surface.answer_control), cfg.control),
            (Server(surface.answer_readiness), cfg.readiness),
            (Server(answer_metrics), (cfg.ip, METRICS_PORT)),
            (node.callers, cfg.callers),
        ):
            await stack.enter_async_context(open_server(server, *address))
        lines.write("started", {"incarnation": node.roster.own.incarnation})
        work = loop.create_task(node.run())
        stopped = loop.create_task(stop.wait())
        await asyncio.wait(
            {work, stopped}, return_when=asyncio.FIRST_COMPLETED
        )
        if work.done():
            work.result()
        clean = await _leave(node)
        work.cancel()
        lines.write("stopped", {"clean": clean})
        lines.flush()
    return 0 if clean else 1


async def _leave(node: Node) -> bool:
    """Hand over, and answer everything that was read."""
    loop = asyncio.get_running_loop()
    node.lines.write("stopping", {"in_flight": node.forwarder.in_flight})
    node.begin_leaving()
    assert node.callers is not None
    node.callers.leaving = True
    began = loop.time()
    if node.target.left or not node.target.up:
        node.reporter.spawn(node.discovery.withdraw())
    while loop.time() < began + node.cfg.grace_s * _GRACE_SHARE:
        if loop.time() - began > node.cfg.grace_s * _TAKES_SHARE:
            node.stop_taking()
        if loop.time() - began > _STAY_S and not node.in_flight:
            break
        await asyncio.sleep(_POLL_S)
    node.stop_taking()
    node.callers.close_idle()
    return not node.in_flight
