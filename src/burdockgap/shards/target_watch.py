"""Detection of restarts of the local target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.target_state import TargetState

_STEP_INTERVAL_S = 0.1
_CONNECT_TIMEOUT_S = 0.4
_REPLACE_AFTER_S = 4.0
"""Below half of the 10 s after which targets close idle connections."""
_MIN_REPLACE_AFTER_S = 0.2
_MIN_INTERVAL_S = 0.4
"""Shortest time between two announcements of a running process, which
announces itself about once a second. Those that were delayed arrive
together."""


class _WatchConnection(asyncio.Protocol):
    """
    A connection without requests; shows when the target's process ends.

    :param opened_at: time before it was opened, in seconds of the event
        loop's clock.
    :ivar lost: whether the target closed it.
    """

    __slots__ = ("_transport", "lost", "opened_at")

    def __init__(self, opened_at: float) -> None:
        self.opened_at = opened_at
        self.lost = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:  # noqa: ARG002
        # Reading on would take a core while the target sends.
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        self.lost = True

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class TargetWatch:
    """
    Keeps a connection to the target open to see whether it restarts.

    A process that listens at an address keeps its connections open as
    long as it lives. So an announcement that arrived after the
    connection was opened comes from the process that listens now. Once
    a connection was lost, one that names the earlier process may be
    late: only two at the usual interval show that it still runs.

    A connection is replaced while it is open, as targets close idle
    ones.

    :param state: state of the target.
    :param on_event: logs changes of the connection.
    """

    __slots__ = (
        "_address",
        "_conn",
        "_loop",
        "_lost_born",
        "_on_event",
        "_replace_after_s",
        "_since",
        "_state",
    )

    def __init__(
        self,
        state: TargetState,
        on_event: Callable[[str, dict[str, object]], None] = (
            lambda _event, _fields: None
        ),
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._on_event = on_event
        self._address: tuple[str, int] | None = None
        self._conn: _WatchConnection | None = None
        self._lost_born = 0
        self._since = 0.0
        self._replace_after_s = _REPLACE_AFTER_S

    def is_proven(self) -> bool:
        """Return whether the announced process is certainly running."""
        info, state = self._state.info, self._state
        if (
            self._conn is None
            or self._conn.lost
            or info is None
            or info.address != self._address
        ):
            return False
        if info.born != self._lost_born:
            return state.announced_at > self._since
        interval_s = state.announced_at - state.previous_announced_at
        return (
            state.previous_announced_at > self._since
            and interval_s >= _MIN_INTERVAL_S
        )

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        try:
            while True:
                await self._step()
                await asyncio.sleep(_STEP_INTERVAL_S)
        finally:
            self._close()

    async def _step(self) -> None:
        info = self._state.info
        if not self._state.up or info is None:
            self._close()
            return
        if info.address != self._address:
            self._close()
            self._address = info.address
        conn, now = self._conn, self._loop.time()
        if conn is not None and conn.lost:
            self._lost_born = info.born
            age_s = now - conn.opened_at
            self._log("lost", age=round(age_s, 3))
            if age_s < _REPLACE_AFTER_S:
                # The target may close idle connections early.
                self._replace_after_s = max(age_s / 2, _MIN_REPLACE_AFTER_S)
            conn = self._conn = None
        if conn is None or now - conn.opened_at > self._replace_after_s:
            await self._replace(info.address)

    async def _replace(self, address: tuple[str, int]) -> None:
        opened_at = self._loop.time()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, conn = await self._loop.create_connection(
                    lambda: _WatchConnection(opened_at), *address
                )
        except (OSError, TimeoutError):
            return
        old, self._conn = self._conn, conn
        if old is None or old.lost:
            self._since = opened_at
            self._log("opened")
        else:
            self._log("replaced", age=round(opened_at - old.opened_at, 3))
        if old is not None:
            old.close()

    def _close(self) -> None:
        if self._conn is not None:
            self._lost_born = self._state.info.born if self._state.info else 0
            self._conn.close()
        self._conn = None

    def _log(self, change: str, **fields: object) -> None:
        info = self._state.info
        fields.update(change=change, born=info.born if info else 0)
        self._on_event("target_connection", fields)
