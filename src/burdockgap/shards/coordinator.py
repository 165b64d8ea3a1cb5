"""The member that decides which server owns which keys."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from burdockgap.fleet.datagrams import LEASE, REPORT
from burdockgap.metadata.store_error import StoreError, WriteConflict
from burdockgap.shards.authority import Authority
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.key_rates import KeyRates
from burdockgap.shards.lease import LEASE_S, MARGIN_S
from burdockgap.shards.planner import Server, assign_unowned, balance
from burdockgap.shards.reports import TARGET_UNKNOWN, Report
from burdockgap.shards.shard import KEYS, Shard, merged

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.roster import Roster
    from burdockgap.shards.control_store import ControlStore
    from burdockgap.shards.control_view import ControlView

_TICK_S = 0.1
_FRESH_S = 1.0
"""Age of a report beyond which its server is given no more keys."""
_LOST_S = 2.0
"""Silence of an owner after which its keys move; a daemon that was
killed is back within about a second."""
_BALANCE_S = 0.25
_VOTER_PATIENCE_S = 5.0
"""Without a majority for so long, those that answer are the voters."""
_ABSENT_S = 10.0
_RESIGN_AFTER_S = 0.4
"""A slow store answers sooner; one that turns this machine away may
serve others."""
_FIRST_PLAN_S = 0.6
"""Wait for other members before the first assignment is made."""
_FIRST_TARGETS_S = 3.0
"""Longest wait for the targets of known members before that; they
announce themselves about once a second."""


class Coordinator:
    """
    Leases, assignment and balance, while this member is coordinator.

    :param roster: the members.
    :param view: the control state as this daemon knows it.
    :param store: the control state in the store.
    :param datagrams: reports come in and leases go out by it.
    :param clock: runs on through suspension.
    :param keyed_services: returns the services divided by key.
    :param data_centres_out: returns the data centres that are out.
    :param on_event: logs a decision.
    """

    __slots__ = (
        "_authority",
        "_balanced_at",
        "_clock",
        "_failing_since",
        "_datagrams",
        "_keyed_services",
        "_lease_ends",
        "_on_event",
        "_rates",
        "_received",
        "_reports",
        "_roster",
        "_since",
        "_store",
        "_view",
        "_withheld",
        "_writing_voters",
        "_data_centres_out",
        "term",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        view: ControlView,
        store: ControlStore,
        datagrams: Datagrams,
        clock: Clock,
        keyed_services: Callable[[], set[str]],
        data_centres_out: Callable[[], set[str]],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._roster = roster
        self._view = view
        self._store = store
        self._clock = clock
        self._datagrams = datagrams
        self._keyed_services = keyed_services
        self._data_centres_out = data_centres_out
        self._on_event = on_event
        self.term = 0
        self._reset()
        datagrams.handlers[REPORT] = self._take_report

    @property
    def is_resigning(self) -> bool:
        """Whether this coordinator cannot write."""
        return (
            self.is_active
            and self._failing_since is not None
            and self._clock.now() - self._failing_since > _RESIGN_AFTER_S
        )

    @property
    def is_active(self) -> bool:
        """Whether this member acts as coordinator."""
        state = self._view.state
        return self.term > 0 and self.term == state.term

    async def claim(self) -> bool:
        """
        Become coordinator of the next term.

        :return: whether the claim took effect.
        """
        try:
            known = await self._store.read()
            if known is not None and self._is_own_claim(known):
                # An earlier claim took effect without an answer.
                self._begin(known, is_first=known.term == 1)
                return True
            if known is not None and known.term > self._view.state.term:
                # Another member's claim came first.
                self._view.adopt(known)
                return False
            claimed = self._claim_after(known or ControlState())
            await self._store.write(claimed)
        except StoreError as exc:
            self._on_event("claim_failed", {"why": str(exc)})
            return False
        self._begin(claimed, is_first=known is None)
        return True

    async def run(self) -> None:
        """Do a coordinator's work for ever, while this member is it."""
        while True:
            await asyncio.sleep(_TICK_S)
            await self._tick()

    def _is_own_claim(self, state: ControlState) -> bool:
        own = self._roster.own
        return (
            state.coordinator == own.name
            and state.incarnation == own.incarnation
            and state.term > self.term
        )

    def _claim_after(self, base: ControlState) -> ControlState:
        claimed = base.successor()
        claimed.term = base.term + 1
        claimed.coordinator = self._roster.own.name
        claimed.incarnation = self._roster.own.incarnation
        if not claimed.voters:
            names = {member.name for member in self._roster.live()}
            claimed.voters = tuple(sorted(names))
        return claimed

    def _begin(self, state: ControlState, *, is_first: bool) -> None:
        self._reset()
        self.term = state.term
        now = self._clock.now()
        self._authority = Authority(now, is_first=is_first)
        self._view.adopt(state)
        self._on_event(
            "claimed", {"term": state.term, "voters": len(state.voters)}
        )

    def _reset(self) -> None:
        now = self._clock.now()
        self._reports: dict[str, Report] = {}
        self._received: dict[str, float] = {}
        self._lease_ends: dict[str, float] = {}
        self._rates: dict[str, KeyRates] = {}
        self._authority = Authority(now, is_first=False)
        self._balanced_at = 0.0
        self._since: float = now
        self._failing_since: float | None = None
        self._withheld: set[str] = set()
        self._writing_voters: tuple[str, ...] = ()

    def _take_report(self, values: list[Any]) -> None:
        report = Report.from_values(values)
        now = self._clock.now()
        state = self._view.state
        if not self.is_active or report.term != self.term:
            return
        self._reports[report.name] = report
        self._received[report.name] = now
        self._authority.vote(report.name, report.echo)
        self._authority.note_majority(now, state.voters)
        self._note_keys(report, now)
        lease_s = 0.0
        if report.name not in self._withheld:
            lease_s = max(min(LEASE_S, self._authority_until() - now), 0.0)
            self._lease_ends[report.name] = now + lease_s
        member = self._roster.member(report.name)
        if member is None:
            return
        self._datagrams.send(
            member.address,
            LEASE,
            self._roster.own.incarnation,
            self.term,
            state.revision,
            now,
            report.sent_at,
            lease_s,
        )

    def _authority_until(self) -> float:
        until = self._authority.until(self._view.state.voters)
        if self._writing_voters:
            until = min(until, self._authority.until(self._writing_voters))
        return until

    def _note_keys(self, report: Report, now: float) -> None:
        member = self._roster.member(report.name)
        if member is None or not report.keys:
            return
        rates = self._rates.setdefault(member.service, KeyRates(now, KEYS))
        rates.add(report.seen, report.keys)

    async def _tick(self) -> None:
        if not self.is_active:
            return
        now = self._clock.now()
        self._authority.note_majority(now, self._view.state.voters)
        has_authority = self._authority_until() > now
        state = self._view.state.successor()
        reasons: list[str] = []
        gone_names: set[str] = set()
        if self._update_voters(state, now, has_authority=has_authority):
            reasons.append("voters")
        if has_authority:
            self._plan(state, now, reasons, gone_names)
        if not reasons:
            return
        self._withheld = gone_names
        self._writing_voters = state.voters
        try:
            await self._write(state, reasons)
        finally:
            self._withheld = set()
            self._writing_voters = ()

    async def _write(self, state: ControlState, reasons: list[str]) -> None:
        while True:
            try:
                await self._store.write(state)
            except StoreError as exc:
                if self._failing_since is None:
                    self._failing_since = self._clock.now()
                self._on_event(
                    "write_failed",
                    {
                        "revision": state.revision,
                        "why": str(exc),
                        "conflict": isinstance(exc, WriteConflict),
                    },
                )
                if await self._read_back(state):
                    return
                continue
            self._failing_since = None
            self._view.adopt(state)
            self._on_event(
                "assigned",
                {
                    "term": state.term,
                    "revision": state.revision,
                    "why": reasons,
                    "ranges": sum(map(len, state.shards.values())),
                },
            )
            return

    async def _read_back(self, state: ControlState) -> bool:
        """
        Find out what became of a write.

        :return: whether there is nothing more to write.
        """
        while True:
            if not self.is_active:
                return True
            try:
                stored = await self._store.read()
                self._failing_since = None
                break
            except StoreError:
                await asyncio.sleep(_TICK_S * random.uniform(1, 3))
        if stored is None:
            return False
        if (stored.term, stored.revision) >= (state.term, state.revision):
            self._view.adopt(stored)
            return True
        # Not done, or still on its way: the same write again, which
        # takes effect once at most, as its condition names the same
        # offset.
        return self._view.state.term != self.term

    def _update_voters(
        self, state: ControlState, now: float, *, has_authority: bool
    ) -> bool:
        """Follow members that come and go; one absent stays a while."""
        if now - self._since < _FIRST_PLAN_S:
            return False
        fresh = {
            name for name, at in self._received.items() if now - at < _FRESH_S
        }
        if has_authority:
            voters = fresh | {
                name
                for name in state.voters
                if now - self._received.get(name, self._since) < _ABSENT_S
            }
        elif now - self._since > _VOTER_PATIENCE_S:
            voters = fresh
        else:
            return False
        if not voters or set(state.voters) == voters:
            return False
        state.voters = tuple(sorted(voters))
        return True

    def _plan(
        self,
        state: ControlState,
        now: float,
        reasons: list[str],
        gone_names: set[str],
    ) -> None:
        is_balance_due = now - self._balanced_at >= _BALANCE_S
        for service in sorted(self._keyed_services()):
            self._rates.setdefault(service, KeyRates(now, KEYS)).fade(now)
            rows = state.shards.get(service, [])
            servers = self._servers(service, now)
            if not rows and self._awaits_servers(service, servers, now):
                continue
            if self._clear(state, service, now, gone_names):
                reasons.append("cleared")
            if self._replace_rejected(state, service):
                reasons.append("rejected")
            kept, gone = self._keepable(state, service, servers, now)
            gone_names |= {name for name, _ in gone}
            if not servers:
                continue
            if self._assign(state, service, servers, kept, gone):
                reasons.append("unowned")
            rates = self._rates[service]
            if is_balance_due and balance(state, service, servers, rates):
                reasons.append("balance")
            state.shards[service] = merged(state.shards[service])
        if is_balance_due:
            self._balanced_at = now

    def _awaits_servers(
        self, service: str, servers: dict[str, Server], now: float
    ) -> bool:
        """Tell whether the first assignment should wait for servers."""
        waited_s = now - self._since
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
            if self._is_rejected(shard):
                shard = shard.part(shard.first, shard.last)
                shard.fence = state.take_fence()
                changed = True
            rows.append(shard)
        if changed:
            state.shards[service] = rows
        return changed

    def _is_rejected(self, shard: Shard) -> bool:
        report = self._reports.get(shard.owner)
        if report is None or report.born != shard.born:
            return False
        return any(
            fence == shard.fence
            and first <= shard.last
            and shard.first <= last
            for first, last, fence in report.rejected
        )

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
        for name, report in self._reports.items():
            member = self._roster.member(name)
            if member is None or member.service != service:
                continue
            usable = (
                now - self._received[name] < _FRESH_S
                and report.born
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
            elif self._is_awaited(shard, now):
                kept.add(owner)
            elif self._holds_nothing(shard, now):
                gone.add(owner)
        return kept, gone

    def _is_awaited(self, shard: Shard, now: float) -> bool:
        """Tell whether a range stays with an owner that is away."""
        silent_s = now - self._received.get(shard.owner, self._since)
        report = self._reports.get(shard.owner)
        if silent_s < _FRESH_S and report is not None:
            return report.born == TARGET_UNKNOWN
        return silent_s < _LOST_S or not self._expired(shard.owner, now)

    def _holds_nothing(self, shard: Shard, now: float) -> bool:
        """Tell whether an owner surely holds nothing any more."""
        report = self._reports.get(shard.owner)
        silent_s = now - self._received.get(shard.owner, self._since)
        if silent_s < _FRESH_S and report is not None:
            return report.born not in (0, shard.born)
        return self._expired(shard.owner, now)

    def _expired(self, name: str, now: float) -> bool:
        """Tell whether a member's last lease has surely run out."""
        if self._authority.safe_at is None:
            return False
        end = max(self._lease_ends.get(name, 0.0), self._authority.safe_at)
        return now > end + MARGIN_S

    def _clear(
        self,
        state: ControlState,
        service: str,
        now: float,
        gone_names: set[str],
    ) -> bool:
        """Drop earlier holders that have let go or surely run out."""
        changed = False
        rows: list[Shard] = []
        for shard in state.shards.get(service, []):
            if not shard.previous:
                rows.append(shard)
                continue
            if self._is_cleared(shard):
                left: tuple[tuple[str, int], ...] = ()
            else:
                left = tuple(
                    holder
                    for holder in shard.previous
                    if not self._lost(holder[0], now)
                )
            if left != shard.previous:
                gone_names |= {name for name, _ in shard.previous}
                shard = shard.part(shard.first, shard.last)
                shard.previous = left
                # Alone it is not worth a write unless somebody waits.
                changed = changed or not self._is_cleared(shard)
            rows.append(shard)
        if service in state.shards:
            state.shards[service] = rows
        return changed

    def _is_cleared(self, shard: Shard) -> bool:
        """Tell whether the owner holds the range alone."""
        report = self._reports.get(shard.owner)
        if report is None or report.born != shard.born:
            return False
        if (
            report.term != self.term
            or report.revision < self._view.state.revision
        ):
            return False
        return not any(
            first <= shard.last and shard.first <= last
            for first, last, _fence in report.pending
        )

    def _lost(self, name: str, now: float) -> bool:
        heard_at = self._received.get(name, self._since)
        return now - heard_at > _LOST_S and self._expired(name, now)
