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
_MAX_JITTER_S = 1.0
"""Longest delay before a member writes its entry again, since all
members learn of a restored store at once."""


class Discovery:
    """
    Writes this member's entry and then reads all entries.

    Of any two members, the one that wrote later reads the other's entry
    and contacts it, so one read by each member is enough. Both are done
    once in each generation of the store, as a store that was restored
    from a copy may have lost the entry.

    :param store: the platform's store.
    :param roster: receives the entries.
    :param on_event: logs an event with its fields.
    :ivar has_read: whether the entries have been read.
    """

    __slots__ = ("_on_event", "_roster", "_store", "_withdrawn", "has_read")

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
        self._withdrawn = False
        self.has_read = False

    async def run(self) -> None:
        """Register in each generation of the store until withdrawn."""
        while not self._withdrawn:
            generation = await self._register()
            if generation is None:
                return
            await self._store.generation.wait_above(generation)
            await asyncio.sleep(random.uniform(0, _MAX_JITTER_S))

    async def _register(self) -> int | None:
        """
        Write the own entry and read all, retrying until both succeed.

        :return: the generation of the store that has the entry,
            ``None`` if the member is withdrawn.
        """
        own = self._roster.own
        while True:
            if self._withdrawn:
                return None
            try:
                entry = own.encode()
                await self._store.put(_MEMBERS_TOPIC, own.name, entry)
                newest = await self._store.newest(_MEMBERS_TOPIC)
                if newest.values.get(own.name) == entry:
                    break
                why = "the store does not have the entry"
            except StoreError as exc:
                why = str(exc)
            self._on_event("discovery_failed", {"why": why})
            await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))
        for name, value in newest.values.items():
            try:
                self._roster.add_stored(Member.decode(value))
            except ValueError as exc:
                self._on_event("bad_entry", {"member": name, "why": str(exc)})
        self.has_read = True
        self._on_event("discovered", {"members": len(newest.values)})
        return newest.generation

    async def withdraw(self) -> None:
        """Remove this member's entry; its machine will not return."""
        self._withdrawn = True
        try:
            await self._store.remove(_MEMBERS_TOPIC, self._roster.own.name)
        except StoreError as exc:
            self._on_event("withdraw_failed", {"why": str(exc)})
