"""Start, run and shutdown of a sidecar daemon."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from burdockgap.fleet.datagrams import open_datagrams
from burdockgap.forward.chooser import Chooser
from burdockgap.hop.listener import open_listener
from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.logs.line_writer import LineWriter
from burdockgap.platform.announcements import ControlApi
from burdockgap.platform.store_client import StoreClient
from burdockgap.resources.allocator import return_freed_memory
from burdockgap.resources.descriptor_limit import DescriptorLimit
from burdockgap.resources.link_usage import LinkUsage
from burdockgap.sidecar.metrics import SidecarMetrics
from burdockgap.sidecar.node import Node
from burdockgap.sidecar.peer_call_handlers import PeerCallHandlers
from burdockgap.sidecar.route_query import ROUTE_PATH, RouteQuery

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.http1.request import Request
    from burdockgap.sidecar.sidecar_settings import SidecarSettings

_MIN_SHUTDOWN_S = 2.6
"""Covers two readiness checks of the platform, after which callers are
directed to other machines."""
_ACCEPT_SHARE = 0.6
"""Share of the grace period in which new requests are served."""
_MAX_SHUTDOWN_SHARE = 0.93
"""Share of the grace period after which the process always exits."""
_POLL_INTERVAL_S = 0.05
_MAX_CONTROL_BODY_BYTES = 64 * 1024
_MAX_CONTROL_CONNECTIONS = 64
"""For the server's heartbeats, readiness checks or scrapes."""
METRICS_PORT = 9464
"""Also set in deploy/system.toml."""
METRICS_PATH = "/metrics"
_METRICS_HEADERS = [
    ("content-type", "text/plain; version=0.0.4; charset=utf-8")
]


def run_sidecar(cfg: SidecarSettings) -> int:
    """
    Run a daemon until it receives SIGTERM or SIGINT.

    :return: exit code: 0 if all requests in flight were completed,
        else 1.
    """
    return_freed_memory()
    return uvloop.run(_run(cfg))


async def _run(cfg: SidecarSettings) -> int:
    metrics = SidecarMetrics()
    event_log = LineWriter(
        fd=sys.stdout.fileno(), name=cfg.name, count=metrics.count
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: event_log.write("reload", {"changed": []})
    )
    async with AsyncExitStack() as stack:
        datagrams = await stack.enter_async_context(
            open_datagrams(cfg.peer_host, cfg.peer_port)
        )
        link = LinkUsage(
            cfg.link_bytes_per_s, event_log.write, metrics.observe_opening
        )
        node = Node(
            cfg=cfg,
            link=link,
            store=StoreClient(
                cfg.store,
                counter=link.counters["store"],
                on_opened=partial(link.note_opening, "store"),
            ),
            datagrams=datagrams,
            event_log=event_log,
            metrics=metrics,
        )

        route_query = RouteQuery(
            documents=node.documents,
            roster=node.roster,
            view=node.view,
            chooser=Chooser(
                roster=node.roster, documents=node.documents, view=node.view
            ),
        )

        async def answer_metrics(req: Request) -> Response:
            if req.path == ROUTE_PATH:
                return route_query.answer(req)
            if req.path != METRICS_PATH:
                return Response(404)
            return Response(200, _METRICS_HEADERS, metrics.expose())

        control_api = ControlApi(
            on_heartbeat=node.heartbeats.receive,
            on_target_left=node.heartbeats.target_left,
            confirm_departures=node.confirm_departures,
            is_ready=lambda: node.is_ready,
            on_event=event_log.write,
        )
        node.caller_server = Server(
            node.answer_caller,
            on_malformed=lambda status: event_log.write(
                "malformed_request", {"status": status}
            ),
            uplink=node.uplink,
            budget=node.buffers,
            counter=link.counters["callers"],
            may_overlap=node.may_overlap,
            max_connections=DescriptorLimit(cfg.descriptors).connections,
            on_shed=node.note_shed,
        )
        peer_calls = PeerCallHandlers(node)
        node.peers_busy = await stack.enter_async_context(
            open_listener(
                peer_calls.handlers(),
                cfg.peer_host,
                cfg.peer_port,
                uplink=node.uplink,
                budget=node.buffers,
                refusals=peer_calls.refusals(),
                link_refusals=peer_calls.link_refusals(),
                counter=link.counters["peers"],
                downlink=node.downlink,
            )
        )

        def control_server(
            answer: Callable[[Request], Awaitable[Response]],
        ) -> Server:
            return Server(
                answer,
                limits=ConnectionLimits(body_bytes=_MAX_CONTROL_BODY_BYTES),
                budget=node.buffers,
                is_control=True,
                max_connections=_MAX_CONTROL_CONNECTIONS,
                on_shed=node.note_shed,
            )

        for server, address in (
            (control_server(control_api.answer_control), cfg.control),
            (control_server(control_api.answer_readiness), cfg.readiness),
            (control_server(answer_metrics), (cfg.ip, METRICS_PORT)),
            (node.caller_server, cfg.callers),
        ):
            await stack.enter_async_context(open_server(server, *address))
        event_log.write(
            "started", {"incarnation": node.roster.own.incarnation}
        )
        node_task = loop.create_task(node.run())
        stop_task = loop.create_task(stop.wait())
        await asyncio.wait(
            {node_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if node_task.done():
            node_task.result()
        clean = await _shut_down(node)
        node_task.cancel()
        event_log.write("stopped", {"clean": clean})
        event_log.flush()
    return 0 if clean else 1


async def _shut_down(node: Node) -> bool:
    """Hand over keys and complete requests within the grace period."""
    # The grace period goes on while the machine is suspended; the event
    # loop's clock does not.
    clock = node.clock
    node.event_log.write("stopping", {"in_flight": node.forwarder.in_flight})
    node.begin_shutdown()
    assert node.caller_server is not None
    node.caller_server.leaving = True
    started_at = clock.now()
    if node.target.left or not node.target.up:
        node.reporter.spawn(node.discovery.withdraw())
    max_shutdown_s = node.cfg.grace_s * _MAX_SHUTDOWN_SHARE
    while (elapsed_s := clock.now() - started_at) < max_shutdown_s:
        if elapsed_s > node.cfg.grace_s * _ACCEPT_SHARE:
            node.stop_accepting()
        is_late = elapsed_s > _MIN_SHUTDOWN_S
        if is_late and not node.in_flight:
            break
        # Early on, most idempotent requests are answered long before
        # their deadline, and the others may be repeated.
        node.refuse_longer_than(max_shutdown_s - elapsed_s, idempotent=is_late)
        await asyncio.sleep(_POLL_INTERVAL_S)
    node.stop_accepting()
    node.caller_server.close_idle()
    return not node.in_flight
