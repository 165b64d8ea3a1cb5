"""The tasks that request releases and report activations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.ownership.activator import Activator
from burdockgap.ownership.release_error import ReleaseError
from burdockgap.wire.ids import show_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from burdockgap.lease.certificates import Certificates
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.ownership.messages.activation_report import (
        ActivationReport,
    )
    from burdockgap.ownership.messages.release import Release
    from burdockgap.ownership.messages.released import Released
    from burdockgap.ownership.own_session import OwnSession
    from burdockgap.ownership.own_sessions import OwnSessions
    from burdockgap.ownership.release_client import ReleaseClient
    from burdockgap.ownership.releaser import Releaser

_RETRY_S = 0.2
_REPORT_RETRY_S = 1.0
_REPORT_DELAY_S = 0.02


class Takeover:
    """
    Runs one task per earlier holder and one for the reports.

    :param sessions: this daemon's sessions.
    :param folds: the folded state.
    :param certificates: the expiry certificates of other sessions.
    :param client: requests releases from other daemons.
    :param releaser: releases units of this daemon's own sessions.
    :param on_active: called with a session that activated units.
    :param report: sends a report to the coordinator; it is retried if
        it raises ``OSError``.
    :ivar activator: decides what to activate.
    """

    __slots__ = (
        "_requesting",
        "_client",
        "_folds",
        "_on_active",
        "_releaser",
        "_report",
        "_sessions",
        "_tasks",
        "_report_due",
        "activator",
    )

    def __init__(
        self,
        *,
        sessions: OwnSessions,
        folds: FoldView,
        certificates: Certificates,
        client: ReleaseClient,
        releaser: Releaser,
        on_active: Callable[[OwnSession], None],
        report: Callable[[ActivationReport], Awaitable[None]],
    ) -> None:
        self._sessions = sessions
        self._folds = folds
        self._client = client
        self._releaser = releaser
        self._on_active = on_active
        self._report = report
        self._requesting: set[int] = set()
        self._tasks: TaskGroup | None = None
        self._report_due = anyio.Event()
        self.activator = Activator(
            sessions=sessions,
            folds=folds,
            certificates=certificates,
            on_active=self._activated,
            on_release_needed=self._start_requesting,
        )

    async def run(self) -> None:
        """Request releases and report activations until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.activator.resync()
            try:
                await self._report_activations()
            finally:
                self._tasks = None

    def _activated(self, session: OwnSession) -> None:
        self._on_active(session)
        self._report_due.set()

    def _start_requesting(self, holder: int) -> None:
        if self._tasks is None or holder in self._requesting:
            return
        self._requesting.add(holder)
        self._tasks.start_soon(self._request_releases, holder)

    async def _request_releases(self, holder: int) -> None:
        try:
            while request := self.activator.next_request(holder):
                await self._request_release(request)
        finally:
            self._requesting.discard(holder)

    async def _request_release(self, request: Release) -> None:
        try:
            released = await self._release(request)
        except (ReleaseError, OSError) as exc:
            logger.debug(
                "session {} released no units; retrying: {}",
                show_id(request.session_id),
                exc,
            )
            await anyio.sleep(_RETRY_S)
            return
        if not released.units:
            await anyio.sleep(_RETRY_S)
        self.activator.on_released(released)

    async def _release(self, request: Release) -> Released:
        if self._sessions.find(request.session_id) is not None:
            new_owner = self.activator.pending_session(request.units[0])
            if new_owner is None:
                raise ReleaseError(
                    "no local session is about to activate the unit"
                )
            return await self._releaser.hand_over(request, new_owner)
        entry = self._folds.control.sessions.get(request.session_id)
        if entry is None:
            raise ReleaseError("the session has ended")
        return await self._client.release(entry, request)

    async def _report_activations(self) -> None:
        while True:
            await self._report_due.wait()
            self._report_due = anyio.Event()
            await anyio.sleep(_REPORT_DELAY_S)
            while report := self.activator.next_report():
                await self._send_report(report)

    async def _send_report(self, report: ActivationReport) -> None:
        try:
            await self._report(report)
        except OSError as exc:
            logger.debug("activation report failed; retrying: {}", exc)
        await anyio.sleep(_REPORT_RETRY_S)
