"""Start and shutdown of a daemon process."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
import prometheus_client
from loguru import logger

from burdockgap.admin import AdminApp
from burdockgap.daemon.backend import Backend
from burdockgap.daemon.core import open_core
from burdockgap.daemon.listener import listen, serve_http
from burdockgap.daemon.role_tasks import RoleTasks
from burdockgap.daemon.state_collector import StateCollector
from burdockgap.http.app import CallerApp
from burdockgap.http.request_parser import RequestParser
from burdockgap.http.shedder import Shedder
from burdockgap.peer.auth import PeerAuth
from burdockgap.peer.method import ACTIVATION, HEARD, JOIN, LEAVE, LOAD, PULL
from burdockgap.peer.service import PeerService, serve_peers
from burdockgap.settings.bind_error import BindError, binding
from burdockgap.tasks.async_library import disable_sniffio_import

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator

    from burdockgap.daemon.core import Core
    from burdockgap.settings import Settings

_ADMIN_HEADER_BYTES = 16384
_POLL_INTERVAL_S = 0.05


def run_daemon(settings: Settings) -> int:
    """
    Run a daemon until SIGTERM or SIGINT.

    :return: 0 if all requests in flight ended before the stop, else 1.
    :raises BindError: if an address of the settings cannot be bound.
    """
    disable_sniffio_import()
    prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]
    failures: list[BindError] = []
    exit_code = 0
    try:
        exit_code = anyio.run(_run, settings)
    except* BindError as group:
        failures = _leaf_errors(group)
    if failures:
        raise failures[0]
    return exit_code


def _leaf_errors(group: BaseExceptionGroup[BindError]) -> list[BindError]:
    found = []
    for exc in group.exceptions:
        found += (
            _leaf_errors(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
        )
    return found


async def _run(settings: Settings) -> int:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        return await _serve(settings, signals)


async def _serve(
    settings: Settings, signals: AsyncIterator[signal.Signals]
) -> int:
    async with open_core(settings) as core:
        roles = RoleTasks(core)
        core.metrics.registry.register(StateCollector(core, roles))
        shedder = Shedder(clock=core.clock)
        callers = CallerApp(
            parser=RequestParser(folds=core.folds, clock=core.clock),
            router=core.router,
            clock=core.clock,
            metrics=core.metrics,
            shedder=shedder,
        )
        admin = AdminApp(
            Backend(core, roles), core.metrics, token=settings.admin.token
        )
        service = _peer_service(core, roles)
        bad_requests = core.metrics.bad_requests
        async with (
            serve_peers(service, settings.peer.bind),
            serve_http(
                callers,
                _listen("http.bind", settings.http.bind),
                header_bytes=settings.http.max_header_bytes,
                on_malformed=bad_requests.labels("http").inc,
            ),
            serve_http(
                admin,
                _listen("admin.bind", settings.admin.bind),
                header_bytes=_ADMIN_HEADER_BYTES,
                on_malformed=bad_requests.labels("admin").inc,
            ),
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(roles.run)
            tasks.start_soon(shedder.run)
            logger.info("daemon {} started", core.identity.name)
            await _wait_for_stop(signals)
            clean = await _leave(core, roles, callers)
            tasks.cancel_scope.cancel()
    logger.info("daemon {} stopped", core.identity.name)
    return 0 if clean else 1


def _peer_service(core: Core, roles: RoleTasks) -> PeerService:
    service = PeerService(
        auth=PeerAuth(core.settings.peer.secret.encode()),
        metrics=core.metrics,
        forward=core.forward_handler,
    )
    service.add(JOIN, core.coordinator.join)
    service.add(LEAVE, core.coordinator.leave)
    service.add(ACTIVATION, core.coordinator.activation)
    service.add(LOAD, core.coordinator.load)
    service.add(HEARD, core.coordinator_probe.answer)
    service.add(PULL, core.catch_up.answer)
    roles.add_calls(service)
    return service


async def _wait_for_stop(signals: AsyncIterator[signal.Signals]) -> None:
    async for signum in signals:
        logger.info("received {}; stopping", signum.name)
        return


def _listen(option: str, address: str) -> socket.socket:
    with binding(option, address):
        return listen(address)


async def _leave(core: Core, roles: RoleTasks, callers: CallerApp) -> bool:
    """
    Refuse new work, hand units over and wait for work in flight.

    :return: whether all work in flight ended in time.
    """
    core.leaving = True
    callers.leaving = True
    clean = await roles.leave()
    with anyio.move_on_after(core.settings.drain.request_timeout_s):
        while callers.in_flight or core.forward_handler.in_flight:
            await anyio.sleep(_POLL_INTERVAL_S)
    cut_off = callers.in_flight + core.forward_handler.in_flight
    return clean and not cut_off
