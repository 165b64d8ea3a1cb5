"""Discovery of the other daemons through the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.fleet.member import Member
from burdockgap.metadata.store_error import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fleet.roster import Roster
    from burdockgap.metadata.keyed_store import KeyedStore

_MEMBERS_TOPIC = "keyed.burdockgap-members"
_RETRY_DELAY_S = 0.3


class Discovery:
    """
    Writes this member's entry and then reads all entries, both once.

    Of any two members, the one that wrote later reads the other's entry
    and contacts it, so one read by each member is enough.

    :param store: the platform's store.
    :param roster: receives the entries.
    :param on_event: logs an event with its fields.
    :ivar has_read: whether the entries have been read.
    """

    __slots__ = ("_on_event", "_roster", "_store", "has_read")

    def __init__(
        self,
        *,
        store: KeyedStore,
        roster: Roster,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._store = store
        self._roster = roster
        self._on_event = on_event
        self.has_read = False

    async def run(self) -> None:
        """Register and read, retrying until both succeed."""
        own = self._roster.own
        while True:
            try:
                await self._store.put(_MEMBERS_TOPIC, own.name, own.encode())
                newest = await self._store.newest(_MEMBERS_TOPIC)
                break
            except StoreError as exc:
                self._on_event("discovery_failed", {"why": str(exc)})
                await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))
        for name, value in newest.values.items():
            try:
                self._roster.add_stored(Member.decode(value))
            except ValueError as exc:
                self._on_event("bad_entry", {"member": name, "why": str(exc)})
        self.has_read = True
        self._on_event("discovered", {"members": len(newest.values)})

    async def withdraw(self) -> None:
        """Remove this member's entry; its machine will not return."""
        try:
            await self._store.remove(_MEMBERS_TOPIC, self._roster.own.name)
        except StoreError as exc:
            self._on_event("withdraw_failed", {"why": str(exc)})
