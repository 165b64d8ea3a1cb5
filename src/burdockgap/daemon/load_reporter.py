"""Periodic load reports to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from burdockgap.daemon.coordinator_client import CoordinatorClient
    from burdockgap.fold.folds import Folds
    from burdockgap.load.load_meter import LoadMeter
    from burdockgap.ownership.own_sessions import OwnSessions

_INTERVAL_MIN_S = 2.0
_REPORTS_PER_S = 25


class LoadReporter:
    """
    Reports the load of this daemon's units.

    The interval grows with the number of sessions in the system so
    that the coordinator receives at most 25 reports per second.

    :param folds: the known sessions.
    :param client: calls to the coordinator.
    :param sessions: this daemon's sessions.
    :param meter: counts requests by unit and by key.
    """

    __slots__ = ("_client", "_folds", "_meter", "_sessions")

    def __init__(
        self,
        *,
        folds: Folds,
        client: CoordinatorClient,
        sessions: OwnSessions,
        meter: LoadMeter,
    ) -> None:
        self._folds = folds
        self._client = client
        self._sessions = sessions
        self._meter = meter

    async def run(self) -> None:
        """Report load at intervals until cancelled."""
        while True:
            session_count = len(self._folds.control.sessions)
            await anyio.sleep(
                max(_INTERVAL_MIN_S, session_count / _REPORTS_PER_S)
            )
            sessions = self._sessions.admitted()
            if sessions and self._sessions.table() is not None:
                report = self._meter.take_report(
                    sessions[-1].session_id, self._sessions.service
                )
                await self._client.load(report)
