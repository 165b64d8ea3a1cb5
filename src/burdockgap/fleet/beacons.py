"""Periodic announcements of members to each other."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from burdockgap.fleet.datagrams import BEACON
from burdockgap.fleet.member import Member
from burdockgap.forward.load_error import LoadError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.roster import Roster

_BEACON_INTERVAL_S = 1.0
"""A third of the silence after which a member counts as failed."""
_PROBE_INTERVAL_S = 3.0
"""Interval of beacons to silent members. Two parts of a site find each
other within it after a cut; dead members cost a third of live ones."""
_REPEAT_DELAY_S = 0.15
"""Delay before a change is sent again, since datagrams may be lost."""


class Beacons:
    """
    Sends this daemon's entry to all other members and receives theirs.

    :param datagrams: sends and receives the entries.
    :param roster: the members.
    :param refresh: updates the own entry before it is sent.
    :param on_member: called with each received entry, except late ones
        of an earlier incarnation.
    """

    __slots__ = (
        "_changed",
        "_datagrams",
        "_loop",
        "_next_probe_at",
        "_on_member",
        "_refresh",
        "_roster",
    )

    def __init__(
        self,
        datagrams: Datagrams,
        roster: Roster,
        *,
        refresh: Callable[[], None],
        on_member: Callable[[Member], None],
    ) -> None:
        self._datagrams = datagrams
        self._roster = roster
        self._refresh = refresh
        self._on_member = on_member
        self._changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._next_probe_at = 0.0
        datagrams.handlers[BEACON] = self._handle_beacon

    def changed(self) -> None:
        """Announce a change of the own entry immediately."""
        self._roster.own.sequence += 1
        self._broadcast_own_entry()
        self._changed.set()

    async def run(self) -> None:
        """Announce the own entry periodically until cancelled."""
        while True:
            self._broadcast_own_entry()
            self._probe_silent_members()
            try:
                async with asyncio.timeout(
                    _BEACON_INTERVAL_S * random.uniform(0.9, 1.1)
                ):
                    await self._changed.wait()
                self._changed.clear()
                await asyncio.sleep(_REPEAT_DELAY_S)
            except TimeoutError:
                continue

    def broadcast(self, kind: int, *values: Any) -> None:
        """Send a message to all other members; it may be lost."""
        for entry in self._roster.entries():
            self._datagrams.send(entry.member.address, kind, *values)

    def _broadcast_own_entry(self) -> None:
        self._refresh()
        self.broadcast(BEACON, self._roster.own.values(), False)

    def _probe_silent_members(self) -> None:
        now = self._loop.time()
        if now < self._next_probe_at:
            return
        self._next_probe_at = now + _PROBE_INTERVAL_S
        for entry in self._roster.silent_entries():
            self._datagrams.send(
                entry.member.address, BEACON, self._roster.own.values(), False
            )

    def _handle_beacon(self, values: list[Any]) -> None:
        member, has_load = self._decode(values[0])
        if member.name == self._roster.own.name:
            return
        is_reply = bool(values[1])
        known = self._roster.member(member.name)
        is_new = (
            known is None
            or known.incarnation != member.incarnation
            # Otherwise a member that was cut off waits for a probe.
            or not self._roster.is_alive(member.name)
        )
        entry = self._roster.record_announcement(member, has_load=has_load)
        if entry is None:
            return
        if is_new and not is_reply:
            self._refresh()
            self._datagrams.send(
                member.address, BEACON, self._roster.own.values(), True
            )
        self._on_member(member)

    def _decode(self, values: list[Any]) -> tuple[Member, bool]:
        """Return a member, and whether its load is a possible one."""
        try:
            return Member.from_values(values), True
        except LoadError as exc:
            # The member is alive even if its load is of no use.
            member = Member.from_values(Member.without_load(values))
            self._roster.reject_load(member.name, str(exc))
            return member, False
