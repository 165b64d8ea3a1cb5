"""Fetching of control state and documents from other daemons."""

from __future__ import annotations

import asyncio
import random
from functools import partial
from typing import TYPE_CHECKING, Any

from burdockgap.hop.call_kinds import GET_CONTROL_STATE, GET_DOCUMENTS
from burdockgap.shards.control_state import ControlState
from burdockgap.sidecar.fetch_group import FetchGroup
from burdockgap.wire.compression import decompress

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from burdockgap.fleet.member import Member
    from burdockgap.hop.peer_connections import PeerConnections
    from burdockgap.hop.reply_progress import ReplyProgress
    from burdockgap.routing.documents import Documents
    from burdockgap.shards.control_view import ControlView

_DOCUMENTS_DELAY_S = 0.15
"""Time for the store to deliver a change before a peer is asked."""
_FIRST_DOCUMENTS_DELAY_S = 1.0
"""The same after a start, for all documents; fetching them from the
store and a peer at once takes longer on a slow link."""
_FETCH_TIMEOUT_S = 5.0
"""For all documents on a slow link; a silent peer is noticed sooner."""
_MAX_JITTER_S = 0.1
"""Maximum random delay before control state is fetched: the changes may
be in transit, and many members would ask the same one at once."""


class PeerFetcher:
    """
    Fetches control state and documents from other members.

    :param peer_connections: connections to other daemons.
    :param view: the control state known to this daemon.
    :param documents: the operators' documents.
    :param store_lost: returns whether the store is unreachable.
    :param spawn: runs a coroutine in a background task.
    :param on_event: logs an event with its fields.
    """

    __slots__ = (
        "_control_fetches",
        "_document_fetches",
        "_documents",
        "_peer_connections",
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
        self._control_fetches = FetchGroup(
            "table", spawn=spawn, on_event=on_event
        )
        self._document_fetches = FetchGroup(
            "documents", spawn=spawn, on_event=on_event
        )

    def request_control_state(
        self, member: Member, version: tuple[int, int]
    ) -> None:
        """Fetch a member's control state, if its version is newer."""
        if version > self._view.version:
            self._control_fetches.start(
                member,
                partial(self._fetch_control_state, member, version),
            )

    def request_documents(self, member: Member) -> None:
        """Fetch all documents from a member if it has newer ones."""
        if self._has_newer_documents(member):
            self._document_fetches.start(
                member, partial(self._fetch_documents, member)
            )

    def _has_newer_documents(self, member: Member) -> bool:
        # A restored store may have lost a configuration that the member
        # read before, so the position does not tell.
        return (
            member.documents > self._documents.position
            or member.config_version > self._documents.config_version
        )

    async def _fetch_control_state(
        self,
        member: Member,
        version: tuple[int, int],
        progress: ReplyProgress,
    ) -> None:
        await asyncio.sleep(random.uniform(0, _MAX_JITTER_S))
        if version <= self._view.version:
            return
        progress.note()
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            data = await self._peer_connections.call_once(
                member.address, GET_CONTROL_STATE, None, progress=progress
            )
        self._view.adopt(ControlState.decode(decompress(data)))

    async def _fetch_documents(
        self, member: Member, progress: ReplyProgress
    ) -> None:
        if self._documents.config is not None:
            await asyncio.sleep(_DOCUMENTS_DELAY_S)
        elif not self._store_lost():
            await asyncio.sleep(_FIRST_DOCUMENTS_DELAY_S)
        if not self._has_newer_documents(member):
            return
        progress.note()
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            values, position = await self._peer_connections.call_once(
                member.address, GET_DOCUMENTS, None, progress=progress
            )
        self._documents.replace(values, tuple(position), member.name)
