"""Which server gets which ranges, as the coordinator plans it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.key_rates import KeyRates
from burdockgap.shards.planner import Server, assign_unowned, balance
from burdockgap.shards.shard import KEYS, Shard, merged

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fleet.roster import Roster
    from burdockgap.shards.control_state import ControlState
    from burdockgap.shards.report_book import ReportBook
    from burdockgap.shards.reports import Report

_BALANCE_S = 0.25
_FIRST_PLAN_S = 0.6
"""Wait for other members before the first assignment is made."""
_FIRST_TARGETS_S = 3.0
"""Longest wait for the targets of known members before that; they
announce themselves about once a second."""


class Assigner:
    """
    Plans the next revision of the assignment.

    :param roster: the members.
    :param book: what they reported.
    :param keyed_services: returns the services divided by key.
    :param data_centres_out: returns the data centres that are out.
    """

    __slots__ = (
        "_balanced_at",
        "_book",
        "_data_centres_out",
        "_keyed_services",
        "_rates",
        "_roster",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        book: ReportBook,
        keyed_services: Callable[[], set[str]],
        data_centres_out: Callable[[], set[str]],
    ) -> None:
        self._roster = roster
        self._book = book
        self._keyed_services = keyed_services
        self._data_centres_out = data_centres_out
        self._rates: dict[str, KeyRates] = {}
        self._balanced_at = 0.0

    def note_keys(self, report: Report, now: float) -> None:
        """Count the keys that a member was asked for."""
        member = self._roster.member(report.name)
        if member is None or not report.keys:
            return
        rates = self._rates.setdefault(member.service, KeyRates(now, KEYS))
        rates.add(report.seen, report.keys)

    def plan(
        self, state: ControlState, now: float
    ) -> tuple[list[str], set[str]]:
        """
        Bring a state up to date.

        :param state: changed in place.
        :return: what was changed and why, and the members of whom the
            state says that they hold nothing any more.
        """
        is_balance_due = now - self._balanced_at >= _BALANCE_S
        reasons: list[str] = []
        gone_names: set[str] = set()
        for service in sorted(self._keyed_services()):
            servers = self._servers(service, now)
            rates = self._rates.setdefault(service, KeyRates(now, KEYS))
            rates.fade(now, len(servers))
            is_new = not state.shards.get(service)
            if is_new and self._awaits_servers(service, servers, now):
                continue
            reasons += self._tidy(state, service, now, gone_names)
            kept, gone = self._keepable(state, service, servers, now)
            gone_names |= {name for name, _ in gone}
            if not servers:
                continue
            if self._assign(state, service, servers, kept, gone):
                reasons.append("unowned")
            if is_balance_due and balance(state, service, servers, rates):
                reasons.append("balance")
            state.shards[service] = merged(state.shards[service])
        if is_balance_due:
            self._balanced_at = now
        return reasons, gone_names

    def _tidy(
        self,
        state: ControlState,
        service: str,
        now: float,
        gone_names: set[str],
    ) -> list[str]:
        reasons = []
        if self._clear(state, service, now, gone_names):
            reasons.append("cleared")
        if self._replace_rejected(state, service):
            reasons.append("rejected")
        return reasons

    def _awaits_servers(
        self, service: str, servers: dict[str, Server], now: float
    ) -> bool:
        """Tell whether the first assignment should wait for servers."""
        waited_s = now - self._book.since
        if waited_s < _FIRST_PLAN_S:
            return True
        known = {
            member.name
            for member in self._roster.live()
            if member.service == service and not member.leaving
        }
        return not known <= set(servers) and waited_s < _FIRST_TARGETS_S

    def _replace_rejected(self, state: ControlState, service: str) -> bool:
        """Give ranges whose token a target found too low a new one."""
        changed = False
        rows: list[Shard] = []
        for shard in state.shards.get(service, []):
            if self._book.is_rejected(shard):
                shard = shard.part(shard.first, shard.last)
                shard.fence = state.take_fence()
                changed = True
            rows.append(shard)
        if changed:
            state.shards[service] = rows
        return changed

    def _assign(
        self,
        state: ControlState,
        service: str,
        servers: dict[str, Server],
        kept: set[tuple[str, int]],
        gone: set[tuple[str, int]],
    ) -> bool:
        """Give away ranges without a usable or awaited owner."""
        rows = state.shards.get(service, [])
        awaited = [
            shard for shard in rows if (shard.owner, shard.born) in kept
        ]
        state.shards[service] = [
            shard for shard in rows if (shard.owner, shard.born) not in kept
        ]
        if rows and not state.shards[service]:
            state.shards[service] = rows
            return False
        changed = assign_unowned(
            state, service, servers, self._rates[service], gone=gone
        )
        state.shards[service] = sorted(
            [*state.shards[service], *awaited], key=lambda shard: shard.first
        )
        return changed

    def _servers(self, service: str, now: float) -> dict[str, Server]:
        servers = {}
        for name, report in self._book.fresh(now).items():
            member = self._roster.member(name)
            if member is None or member.service != service:
                continue
            usable = (
                report.born
                and report.takes_work
                and not member.leaving
                and member.data_centre not in self._data_centres_out()
            )
            if usable:
                load = report.load
                servers[name] = Server(
                    name=name,
                    born=report.born,
                    capacity=load.slots / max(load.service_s, 0.005),
                )
        return servers

    def _keepable(
        self,
        state: ControlState,
        service: str,
        servers: dict[str, Server],
        now: float,
    ) -> tuple[set[tuple[str, int]], set[tuple[str, int]]]:
        """
        Return the owners that are awaited, and those that hold nothing.

        Every other owner is asked to let go first.
        """
        kept: set[tuple[str, int]] = set()
        gone: set[tuple[str, int]] = set()
        for shard in state.shards.get(service, []):
            owner = (shard.owner, shard.born)
            if not shard.owner or owner in kept or owner in gone:
                continue
            if shard.owner in servers:
                if servers[shard.owner].born != shard.born:
                    gone.add(owner)
            elif self._book.is_awaited(shard, now):
                kept.add(owner)
            elif self._book.holds_nothing(shard, now):
                gone.add(owner)
        return kept, gone

    def _clear(
        self,
        state: ControlState,
        service: str,
        now: float,
        gone_names: set[str],
    ) -> bool:
        """Drop earlier holders that have let go or surely run out."""
        changed = False
        revision = state.revision - 1
        rows: list[Shard] = []
        for shard in state.shards.get(service, []):
            if not shard.previous:
                rows.append(shard)
                continue
            if self._book.is_cleared(shard, revision):
                left: tuple[tuple[str, int], ...] = ()
            else:
                left = tuple(
                    holder
                    for holder in shard.previous
                    if not self._book.lost(holder[0], now)
                )
            if left != shard.previous:
                gone_names |= {name for name, _ in shard.previous}
                shard = shard.part(shard.first, shard.last)
                shard.previous = left
                # Alone it is not worth a write unless somebody waits.
                changed = changed or not self._book.is_cleared(shard, revision)
            rows.append(shard)
        if service in state.shards:
            state.shards[service] = rows
        return changed
