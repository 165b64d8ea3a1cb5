"""Which daemons pool the tokens of an account."""

from __future__ import annotations

import hashlib
import itertools
from typing import TYPE_CHECKING

from burdockgap.scheduling.quota_limits import HOLDERS

if TYPE_CHECKING:
    from burdockgap.fleet.roster import Roster

_GROUPS = 16
"""Accounts of one group have the same holders, so that a daemon sends
one message to each of at most 32 holders. With 16 groups, the holders
of 86 accounts are spread over about a third of 89 daemons."""


class Holders:
    """
    Assigns accounts to live daemons by rendezvous hashing.

    Daemons that see different members may disagree for some seconds;
    tokens then lie at more daemons, and there are not more of them.

    :param roster: the members.
    :ivar known: number of daemons among which rates are divided, at
        least 1. Silent members count as long as the roster remembers
        them: they may create tokens on the other side of a cut. Members
        that left in order do not.
    """

    __slots__ = ("_by_group", "_live", "_order", "_roster", "known")

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._live: list[str] = []
        self._by_group: dict[int, list[str]] = {}
        self._order = itertools.count()
        self.known = 1
        self.refresh()

    def refresh(self) -> None:
        """Take over the members that the roster has now."""
        own = self._roster.own
        self.known = 1 + sum(
            not entry.member.leaving
            or self._roster.is_alive(entry.member.name)
            for entry in itertools.chain(
                self._roster.entries(), self._roster.silent_entries()
            )
        )
        live = [
            member.name for member in self._roster.live() if not member.leaving
        ] or [own.name]
        if live != self._live:
            self._live, self._by_group = live, {}

    def of(self, account: str) -> list[str]:
        """Return the names of the members that pool an account."""
        group = hashlib.sha256(account.encode()).digest()[0] % _GROUPS
        holders = self._by_group.get(group)
        if holders is None:
            holders = self._by_group[group] = sorted(
                self._live, key=lambda name: _weight(group, name)
            )[:HOLDERS]
        return holders

    def next_for(self, account: str) -> str:
        """Return the holders of an account in turn."""
        holders = self.of(account)
        return holders[next(self._order) % len(holders)]


def _weight(group: int, name: str) -> bytes:
    return hashlib.sha256(f"{group} {name}".encode()).digest()
