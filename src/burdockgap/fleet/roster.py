"""The members that this daemon knows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.fleet.rejected_loads import RejectedLoads
from burdockgap.fleet.roster_entry import RosterEntry, own_candidate
from burdockgap.scheduling import placement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from burdockgap.fleet.member import Member
    from burdockgap.forward.known_notice import KnownNotice
    from burdockgap.forward.load import Load
    from burdockgap.scheduling.candidate import Candidate

MEMBER_TIMEOUT_S = 3.2
"""Exceeded by a live member only if three beacons in a row are lost."""
_EJECTION_S = 0.4
_SILENT_AFTER_S = 60.0
_FORGET_AFTER_S = 24 * 3600.0
"""Longer than regions are cut off from each other. A member that has
forgotten all others is found again only by a start of its daemon."""


class Roster:
    """
    Members by name; a newer incarnation replaces an earlier one.

    :param own: this daemon's own entry.
    :param on_event: logs state changes of members.
    :ivar rejected_loads: loads that are impossible or of another
        incarnation.
    :ivar own_load: returns the current load of the own target.
    """

    __slots__ = (
        "_ended_incarnations",
        "_entries",
        "_loop",
        "_on_event",
        "own",
        "own_load",
        "rejected_loads",
    )

    def __init__(
        self, own: Member, on_event: Callable[[str, dict[str, object]], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.own_load: Callable[[], Load] = lambda: self.own.load
        self._on_event = on_event
        self.own = own
        self._entries: dict[str, RosterEntry] = {}
        self.rejected_loads = RejectedLoads(on_event)
        self._ended_incarnations: set[tuple[str, int]] = set()

    def record_announcement(
        self, member: Member, *, has_load: bool = True
    ) -> RosterEntry | None:
        """
        Update a member's entry from its own announcement.

        :param has_load: whether its load is used; the last one remains
            otherwise.
        :return: its entry, ``None`` for a late announcement of an
            earlier incarnation.
        """
        if (member.name, member.incarnation) in self._ended_incarnations:
            return None
        now = self._loop.time()
        entry = self._entries.get(member.name)
        if entry is None:
            entry = self._entries[member.name] = RosterEntry(member, now, now)
            self._log(member, "heard")
            return entry
        known = entry.member
        if known.incarnation != member.incarnation:
            self._ended_incarnations.add((known.name, known.incarnation))
            entry.forget_load()
            self._log(member, "restarted")
        elif member.sequence < known.sequence:
            return entry
        elif (
            member.takes_work != known.takes_work
            or member.born != known.born
            or member.leaving != known.leaving
        ):
            self._log(member, "changed")
        entry.member = member
        entry.heard_at = entry.known_at = now
        if has_load:
            entry.note_load(member.load, now)
        if member.notice is not None:
            # A daemon that has started again may not know it any more.
            entry.notice, entry.notice_at = member.notice, now
        return entry

    def add_stored(self, member: Member) -> None:
        """Add an unknown member from the store; it may be outdated."""
        is_own = member.name == self.own.name
        if not is_own and member.name not in self._entries:
            self._entries[member.name] = RosterEntry(
                member, None, self._loop.time()
            )

    def entry(self, name: str) -> RosterEntry | None:
        """Return a member's entry, ``None`` if there is none."""
        return self._entries.get(name)

    def entries(self) -> Iterator[RosterEntry]:
        """
        Return all other members' entries, even if never heard from.

        Those that are silent for :data:`_SILENT_AFTER_S` are left out.
        """
        now = self._loop.time()
        for entry in self._entries.values():
            if now - entry.known_at <= _SILENT_AFTER_S:
                yield entry

    def silent_entries(self) -> Iterator[RosterEntry]:
        """
        Return the entries that :meth:`entries` leaves out.

        Such a member may be on the other side of a cut. Removes entries
        that are silent for :data:`_FORGET_AFTER_S`.
        """
        now = self._loop.time()
        for name, entry in list(self._entries.items()):
            silence_s = now - entry.known_at
            if silence_s > _FORGET_AFTER_S:
                del self._entries[name]
            elif silence_s > _SILENT_AFTER_S:
                yield entry

    def is_alive(self, name: str, within_s: float = MEMBER_TIMEOUT_S) -> bool:
        """
        Return whether a member was heard recently.

        :param within_s: longest silence of a live member, in seconds.
        """
        if name == self.own.name:
            return True
        entry = self._entries.get(name)
        if entry is None or entry.heard_at is None:
            return False
        return self._loop.time() - entry.heard_at <= within_s

    def member(self, name: str) -> Member | None:
        """Return a member by name; this daemon is included."""
        if name == self.own.name:
            return self.own
        entry = self._entries.get(name)
        return entry.member if entry else None

    def live(self, within_s: float = MEMBER_TIMEOUT_S) -> list[Member]:
        """
        Return the live members, this daemon first.

        :param within_s: longest silence of a live member, in seconds.
        """
        alive = [
            entry.member
            for entry in self._entries.values()
            if self.is_alive(entry.member.name, within_s)
        ]
        return [self.own, *alive]

    def servers(self, service: str) -> list[Member]:
        """
        Return the live members whose target serves a service.

        Ejected members and members that are leaving are left out.
        """
        now = self._loop.time()
        return [
            member
            for member in self.live()
            if member.service == service
            and member.takes_work
            and not member.leaving
            and not self._is_ejected(member.name, now)
        ]

    def note_load(self, name: str, load: Load, incarnation: int) -> None:
        """
        Store the load from a member's reply.

        :param incarnation: the incarnation that was called.
        """
        entry = self._entries.get(name)
        if entry is None:
            return
        if entry.member.incarnation != incarnation:
            self.reject_load(name, "it is of another incarnation")
        else:
            entry.note_load(load, self._loop.time())

    def reject_load(self, name: str, why: str) -> None:
        """Count and log a load that is not used."""
        self.rejected_loads.note(name, why, self._loop.time())

    def note_notice(self, name: str, notice: KnownNotice) -> None:
        """Store the target's notice from a member's reply."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.notice, entry.notice_at = notice, self._loop.time()

    def notice(self, name: str) -> KnownNotice | None:
        """Return the newest known notice of a member's target."""
        entry = self._entries.get(name)
        if entry is None or entry.notice is None:
            return None
        return entry.notice.aged(self._loop.time() - entry.notice_at)

    def load(self, member: Member) -> Load:
        """Return the newest known load of a member."""
        entry = self._entries.get(member.name)
        return entry.load if entry else member.load

    def load_age_s(self, name: str) -> float:
        """Return the age of a member's load, in seconds."""
        entry = self._entries.get(name)
        return self._loop.time() - entry.load_at if entry else 0.0

    def note_call(self, name: str) -> float:
        """
        Count a call to a member until it ends or a load includes it.

        :return: when it was sent, for :meth:`note_call_ended`.
        """
        now = self._loop.time()
        entry = self._entries.get(name)
        if entry is not None:
            entry.calls_sent_at.append(now)
        return now

    def note_call_ended(self, name: str, sent_at: float) -> None:
        """Stop counting a call to a member."""
        entry = self._entries.get(name)
        if entry is not None and sent_at in entry.calls_sent_at:
            entry.calls_sent_at.remove(sent_at)

    def note_refusal(self, name: str) -> None:
        """Skip a member until its target is expected to have room."""
        entry = self._entries.get(name)
        if entry is None:
            return
        mean_s = entry.load.service_s
        if not mean_s:
            others = self.servers(entry.member.service)
            mean_s = placement.mean_service_s(
                [self.candidate(member) for member in others]
            )
        entry.note_refusal(self._loop.time(), mean_s)

    def mark_unreachable(self, name: str) -> None:
        """Eject a member for a short time after a failed connection."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.ejected_until = self._loop.time() + _EJECTION_S
            self._log(entry.member, "unreachable")

    def candidate(self, member: Member) -> Candidate:
        """Return what is known of a member's target."""
        entry = self._entries.get(member.name)
        if entry is not None and member.name != self.own.name:
            return entry.candidate(self._loop.time())
        return own_candidate(member.name, self.own_load())

    def expected_latency_s(self, member: Member) -> float:
        """
        Estimate the latency of a new request at a member's target.

        :return: in seconds, without the network.
        """
        mean_s = placement.mean_service_s([self.candidate(member)])
        return placement.latency_s(self.candidate(member), mean_s)

    def _is_ejected(self, name: str, now: float) -> bool:
        entry = self._entries.get(name)
        return entry is not None and entry.ejected_until > now

    def _log(self, member: Member, state: str) -> None:
        self._on_event(
            "member",
            {
                "member": member.name,
                "state": state,
                "incarnation": member.incarnation,
                "sequence": member.sequence,
                "born": member.born,
                "takes_work": member.takes_work,
                "leaving": member.leaving,
            },
        )
