"""The tasks of a daemon's roles."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from burdockgap.daemon.open_service_side import open_service_side
from burdockgap.ownership.release_error import ReleaseError
from burdockgap.peer.messages.done import Done
from burdockgap.peer.method import PING, RELEASE
from burdockgap.records.streams import CONFIG, CONTROL

if TYPE_CHECKING:
    from burdockgap.daemon.core import Core
    from burdockgap.daemon.service_side import ServiceSide
    from burdockgap.ownership.messages.release import Release
    from burdockgap.ownership.messages.released import Released
    from burdockgap.peer.messages.ping import Ping
    from burdockgap.peer.service import PeerService
    from burdockgap.target import TargetInfo

_PRUNE_INTERVAL_S = 30.0


class RoleTasks:
    """
    Runs witness, coordinator and, once a target is announced, gate.

    :param core: the components that all roles share.
    :ivar side: the service side, ``None`` until a target is announced.
    """

    __slots__ = ("_announced", "_core", "_first_info", "side")

    def __init__(self, core: Core) -> None:
        self._core = core
        self._announced = anyio.Event()
        self._first_info: TargetInfo | None = None
        self.side: ServiceSide | None = None

    def add_calls(self, service: PeerService) -> None:
        """Register the peer calls that these roles handle."""
        service.add(RELEASE, self._release)
        service.add(PING, _answer_ping)

    async def announce(self, info: TargetInfo) -> None:
        """
        Apply an announcement of the target.

        :raises ValueError: if it names another service than before.
        """
        if self._first_info is None:
            self._first_info = info
            self._announced.set()
            return
        if info.service != self._first_info.service:
            raise ValueError(
                f"this daemon serves {self._first_info.service!r}; restart it "
                f"to serve {info.service!r}"
            )
        if self.side is not None:
            await self.side.announced(info)

    def target_leaving(self, boot_id: str) -> None:
        """
        Handle a target's notice that it is about to stop.

        A late notice from an earlier process has no effect.

        :param boot_id: the target process that sent it.
        """
        if (
            self.side is None
            or self.side.current_target.info.boot_id != boot_id
        ):
            return
        self.side.target_leaving()

    async def run(self) -> None:
        """Run all roles until cancelled."""
        core = self._core
        async with anyio.create_task_group() as tasks:
            for stream in (CONFIG, CONTROL):
                tasks.start_soon(core.tails[stream].run)
                tasks.start_soon(core.catch_up.run, stream)
            tasks.start_soon(core.witness.run, core.lease_socket)
            tasks.start_soon(core.pool.watch)
            tasks.start_soon(core.coordinator.run)
            tasks.start_soon(core.candidacy.run)
            tasks.start_soon(self._prune_departed)
            tasks.start_soon(self._serve_target)

    async def leave(self) -> bool:
        """Hand over units and sessions; true if all work ended."""
        if self.side is None:
            return True
        return await self.side.leave()

    async def _serve_target(self) -> None:
        await self._announced.wait()
        if self._first_info is None:
            return
        logger.info("target of service {} announced", self._first_info.service)
        async with open_service_side(self._core, self._first_info) as side:
            self.side = side
            self._core.dispatcher.gate = side.gate
            self._core.forward_handler.gate = side.gate
            self._core.parties.quarantine = side.gate.quarantine
            await side.run()

    async def _release(self, msg: Release) -> Released:
        if self.side is None:
            raise GRPCError(Status.UNAVAILABLE, "no target is announced")
        try:
            return await self.side.releaser.release(msg)
        except ReleaseError as exc:
            raise GRPCError(Status.FAILED_PRECONDITION, str(exc)) from exc

    async def _prune_departed(self) -> None:
        """Prune state of departed daemons until cancelled."""
        core = self._core
        while True:
            await anyio.sleep(_PRUNE_INTERVAL_S)
            entries = core.folds.control.sessions.values()
            core.server_table.keep({entry.incarnation for entry in entries})
            core.pool.keep({entry.peer_address for entry in entries})


async def _answer_ping(_msg: Ping) -> Done:
    return Done(taken=True)
