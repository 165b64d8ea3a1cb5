"""What is fetched from other daemons."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from burdockgap.hop.call_kinds import GET_CONTROL_STATE, GET_DOCUMENTS
from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.shards.control_state import ControlState

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from burdockgap.fleet.member import Member
    from burdockgap.hop.peer_connection import PeerConnections
    from burdockgap.routing.documents import Documents
    from burdockgap.shards.control_view import ControlView

_PULL_AFTER_S = 0.15
"""Time for the store to tell a change before a peer is asked."""
_FIRST_PULL_AFTER_S = 1.0
"""The same for all documents after a start; fetching them twice at once
takes longer on a slow link."""
_PULL_TIMEOUT_S = 5.0
"""All documents on a slow link; a silent peer is found sooner."""
_SPREAD_S = 0.1
"""Longest pause before the assignment is fetched: what changed is on
its way, and many would ask the same member at once."""


class Pulls:
    """
    Fetches control state and documents, each once at a time.

    :param links: connections to other daemons.
    :param view: the control state as this daemon knows it.
    :param documents: the operators' documents.
    :param store_lost: tells whether the store does not answer.
    :param spawn: runs a task beside.
    :param on_event: logs failures.
    """

    __slots__ = (
        "_documents",
        "_peer_connections",
        "_on_event",
        "_pulling",
        "_spawn",
        "_store_lost",
        "_view",
    )

    def __init__(
        self,
        *,
        peer_connections: PeerConnections,
        view: ControlView,
        documents: Documents,
        store_lost: Callable[[], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._peer_connections = peer_connections
        self._view = view
        self._documents = documents
        self._store_lost = store_lost
        self._spawn = spawn
        self._on_event = on_event
        self._pulling: set[str] = set()

    def table(self, member: Member, version: tuple[int, int]) -> None:
        """Fetch the control state from a member that knows more."""
        if version > self._view.version:
            self._start("table", self._fetch_table(member, version))

    def all_documents(self, member: Member) -> None:
        """Fetch the documents from a member, if it knows newer ones."""
        if member.documents > self._documents.end:
            self._start("documents", self._fetch_documents(member))

    def _start(self, what: str, pull: Coroutine[Any, Any, None]) -> None:
        if what in self._pulling:
            pull.close()
            return
        self._pulling.add(what)
        self._spawn(self._run(what, pull))

    async def _run(self, what: str, pull: Coroutine[Any, Any, None]) -> None:
        try:
            await pull
        except (PeerCallError, TimeoutError, ValueError) as exc:
            self._on_event("pull_failed", {"what": what, "why": repr(exc)})
        finally:
            self._pulling.discard(what)

    async def _fetch_table(
        self, member: Member, version: tuple[int, int]
    ) -> None:
        await asyncio.sleep(random.uniform(0, _SPREAD_S))
        if version <= self._view.version:
            return
        async with asyncio.timeout(_PULL_TIMEOUT_S):
            data = await self._peer_connections.call(
                member.address, GET_CONTROL_STATE, None
            )
        self._view.adopt(ControlState.decode(data))

    async def _fetch_documents(self, member: Member) -> None:
        if self._documents.config is not None:
            await asyncio.sleep(_PULL_AFTER_S)
        elif not self._store_lost():
            await asyncio.sleep(_FIRST_PULL_AFTER_S)
        if member.documents <= self._documents.end:
            return
        async with asyncio.timeout(_PULL_TIMEOUT_S):
            values, end = await self._peer_connections.call(
                member.address, GET_DOCUMENTS, None
            )
        self._documents.replace(values, end, member.name)
