"""The connections over which a target is granted keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_connection import ClientConnection
from burdockgap.shards.target_link import TargetLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.target_state import TargetState
    from burdockgap.http1.response_limits import ResponseLimits
    from burdockgap.incarnations.process_evidence import ProcessEvidence

_STEP_INTERVAL_S = 0.1
_CONNECT_TIMEOUT_S = 0.4
_LINK_COUNT = 2
"""If one is closed, the other still leads to the same process."""
_REPLACE_AFTER_S = 7.0
"""Below the 10 s after which targets close idle connections."""
_MIN_IDLE_TIMEOUT_S = 1.0
"""Shortest time after which a target closes idle connections; they name
it in whole seconds."""
_MAX_IDLE_SPREAD_S = 0.3
"""Connections that are lost together after different times without use
were not closed for that."""
_REPLACE_GROWTH = 1.5


class TargetLinks:
    """
    Keeps connections to the target open.

    :param state: state of the target.
    :param evidence: is told of new connections.
    :param limits: limits of a response.
    :param on_event: logs changes of the connections.
    """

    __slots__ = (
        "_address",
        "_born",
        "_evidence",
        "_limits",
        "_links",
        "_loop",
        "_lost_at",
        "_on_event",
        "_replace_after_s",
        "_state",
    )

    def __init__(
        self,
        *,
        state: TargetState,
        evidence: ProcessEvidence,
        limits: ResponseLimits,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._evidence = evidence
        self._limits = limits
        self._on_event = on_event
        self._address: tuple[str, int] | None = None
        self._born = 0
        self._links: list[TargetLink] = []
        self._lost_at: float | None = None
        self._replace_after_s = _REPLACE_AFTER_S

    def usable(self) -> list[TargetLink]:
        """Return the open connections, the longest unused one first."""
        info = self._state.info
        if info is None or info.address != self._address:
            return []
        links = [link for link in self._links if link.is_open]
        return sorted(links, key=lambda link: link.conn.idle_since)

    async def run(self) -> None:
        """Open and replace connections until cancelled."""
        try:
            while True:
                await self._step()
                await asyncio.sleep(_STEP_INTERVAL_S)
        finally:
            self._close()

    async def _step(self) -> None:
        info = self._state.info
        if info is None:
            return
        if info.address != self._address:
            self._close()
            self._address, self._lost_at = info.address, None
        if info.born != self._born:
            self._born = info.born
            self._replace_after_s = _REPLACE_AFTER_S
        self._drop_closed()
        # One that may have ended takes no new connections, but the open
        # ones show it to be the same if it has only been silent.
        if not self._state.up:
            return
        if len(self._links) < _LINK_COUNT:
            expected_since = None if self._links else self._lost_at
            if await self._open(info.address, expected_since):
                self._log("opened")
            return
        oldest = min(self._links, key=lambda link: link.conn.idle_since)
        if self._is_due(oldest):
            await self._replace(oldest, info.address)

    async def _replace(
        self, link: TargetLink, address: tuple[str, int]
    ) -> None:
        expected_since = link.process.resolved.expected_since
        is_open = await self._open(address, expected_since)
        if is_open and not link.is_busy:
            self._links.remove(link)
            link.conn.close()
            # Earlier ones may have been lost for another reason.
            self._replace_after_s = min(
                self._replace_after_s * _REPLACE_GROWTH, _REPLACE_AFTER_S
            )

    def _is_due(self, link: TargetLink) -> bool:
        now = self._loop.time()
        return not link.is_busy and (
            not link.conn.is_usable(now)
            or link.idle_s(now) > self._replace_after_s
        )

    def _drop_closed(self) -> None:
        closed = [link for link in self._links if not link.is_open]
        if not closed:
            return
        self._lost_at = now = self._loop.time()
        idle_times_s = [link.idle_s(now) for link in closed]
        for link, idle_s in zip(closed, idle_times_s, strict=True):
            self._links.remove(link)
            self._log("lost", idle=round(idle_s, 3))
        shortest_s, longest_s = min(idle_times_s), max(idle_times_s)
        is_idle_timeout = longest_s - shortest_s < _MAX_IDLE_SPREAD_S
        if is_idle_timeout and shortest_s >= _MIN_IDLE_TIMEOUT_S:
            # The target may close idle connections early.
            self._replace_after_s = min(self._replace_after_s, shortest_s / 2)

    async def _open(
        self, address: tuple[str, int], expected_since: float | None
    ) -> bool:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, conn = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._loop,
                        idle_s=_REPLACE_AFTER_S,
                        limits=self._limits,
                    ),
                    *address,
                )
        except (OSError, TimeoutError):
            return False
        process = self._evidence.connected(self._loop.time(), expected_since)
        self._links.append(TargetLink(conn, process))
        return True

    def _close(self) -> None:
        for link in self._links:
            link.conn.close()
        self._links.clear()

    def _log(self, change: str, **fields: object) -> None:
        fields.update(change=change, born=self._state.born)
        self._on_event("target_connection", fields)
