"""Handling of release requests from other sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.ownership.messages.released import Released
from burdockgap.ownership.release_error import ReleaseError
from burdockgap.ownership.unit import is_pin
from burdockgap.records.streams import CONTROL
from burdockgap.wire.ids import show_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.fold.unit_table import UnitTable
    from burdockgap.gate.permit import Permit
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.ownership.holdings import Holdings
    from burdockgap.ownership.messages.release import Release
    from burdockgap.ownership.own_session import OwnSession
    from burdockgap.ownership.own_sessions import OwnSessions
    from burdockgap.ownership.work_item import WorkItem

_OFFSET_WAIT_S = 1.0


class Releaser:
    """
    Releases units permanently to sessions that may activate them.

    :param sessions: this daemon's sessions.
    :param folds: the folded state.
    :param withdraw: revokes the target's grants of released units.
    :param cancel: asks the gate to cancel requests in flight.
    :param release_timeout_s: how long requests in flight may run before
        they are cancelled.
    """

    __slots__ = (
        "_cancel",
        "_folds",
        "_release_timeout_s",
        "_sessions",
        "_withdraw",
    )

    def __init__(
        self,
        *,
        sessions: OwnSessions,
        folds: FoldView,
        withdraw: Callable[[OwnSession], Awaitable[None]],
        cancel: Callable[[list[Permit]], None],
        release_timeout_s: float,
    ) -> None:
        self._sessions = sessions
        self._folds = folds
        self._withdraw = withdraw
        self._cancel = cancel
        self._release_timeout_s = release_timeout_s

    async def release(self, request: Release) -> Released:
        """
        Release units and answer when no request runs under them.

        Units with requests in flight do not delay the release of the
        others: the answer omits them, and the requester asks for them
        again. If all units have requests in flight, waits for these.

        :raises ReleaseError: if the session is unknown here, the
            service has no units here, or the fold stays behind the
            request.
        """
        await self._folds.wait_offset(
            CONTROL, request.control_offset, _OFFSET_WAIT_S
        )
        session = self.find(request)
        work = self.start_release(session, request)
        answer = self.make_answer(request, work)
        if not answer.units:
            await self._drain(work)
            answer = self.make_answer(request, [])
        await self._withdraw(session)
        return answer

    async def hand_over(
        self, request: Release, new_owner: OwnSession
    ) -> Released:
        """
        Release units to another session of this daemon.

        Requests in flight continue on the same gate and target, under
        the other session's lease from now on.

        :raises ReleaseError: as :meth:`release`.
        """
        session = self.find(request)
        work = self.start_release(session, request)
        session.holdings.hand_over(work, new_owner)
        await self._withdraw(session)
        return self.make_answer(request, [])

    def find(self, request: Release) -> OwnSession:
        """
        Return the session that a release is for.

        :raises ReleaseError: if this process run did not open it.
        """
        session = self._sessions.find(request.session_id)
        if session is None:
            raise ReleaseError(
                f"session {show_id(request.session_id)} is not of this "
                "process; wait for its certificate or its end"
            )
        return session

    def start_release(
        self, session: OwnSession, request: Release
    ) -> list[WorkItem]:
        """
        Raise the floors and stop accepting requests below them.

        :return: the requests in flight to wait for.
        :raises ReleaseError: if the fold is behind the request or the
            service has no units here.
        """
        self._check_folded(request.control_offset)
        table = self._sessions.table()
        if table is None or request.service != self._sessions.service:
            raise ReleaseError("the service has no units here; ask again")
        offset = request.control_offset
        units = set(request.units)
        for unit, floor in zip(request.units, request.epochs, strict=False):
            session.holdings.release(unit, floor)
            if not is_pin(unit):
                self._release_pins(
                    session.holdings, table, unit, floor, offset
                )
        return [
            item
            for item in session.holdings.work_in(units, table.slices)
            if not session.holdings.epoch(table.unit_of(item.key_hash))
        ]

    def _check_folded(self, offset: int) -> None:
        # A record not folded yet may pin a key that is served here.
        if self._folds.offset(CONTROL) < offset:
            raise ReleaseError("the fold is behind the request; ask again")

    def _release_pins(
        self,
        holdings: Holdings,
        table: UnitTable,
        unit: int,
        floor: int,
        offset: int,
    ) -> None:
        # A requester that has not folded a pin yet takes over the key
        # together with its slice.
        for pin in holdings.active_pins(unit, table.slices):
            if offset < self._sessions.pin_offset(pin):
                holdings.release(pin, min(floor, table.epoch(pin)))

    def make_answer(self, request: Release, work: list[WorkItem]) -> Released:
        """
        Return the answer to a release.

        :param work: requests in flight whose units are omitted.
        """
        slices = self._slices()
        busy = {unit for item in work for unit in item.units(slices)}
        floors = {
            unit: floor
            for unit, floor in zip(request.units, request.epochs, strict=False)
            if unit not in busy
        }
        return Released(
            session_id=request.session_id,
            service=request.service,
            units=list(floors),
            floors=list(floors.values()),
        )

    def _slices(self) -> int:
        table = self._sessions.table()
        return 1 if table is None else table.slices

    async def _drain(self, work: list[WorkItem]) -> None:
        with anyio.move_on_after(self._release_timeout_s):
            await _wait_ended(work)
            return
        running = [item for item in work if not item.ended.is_set()]
        self._cancel([item.permit for item in running])
        await _wait_ended(running)


async def _wait_ended(work: list[WorkItem]) -> None:
    for item in work:
        await item.ended.wait()
