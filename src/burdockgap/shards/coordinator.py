"""The coordinator, which decides which server owns which keys."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from burdockgap.fleet.datagrams import CHANGES, LEASE, REPORT
from burdockgap.metadata.store_error import StoreError, WriteConflict
from burdockgap.shards.assigner import Assigner
from burdockgap.shards.authority import Authority
from burdockgap.shards.control_changes import (
    MAX_DATAGRAM_BYTES,
    ControlChanges,
)
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.latest_reports import LatestReports
from burdockgap.shards.lease import LEASE_S
from burdockgap.shards.reports import Report
from burdockgap.shards.required_revisions import RequiredRevisions
from burdockgap.shards.takeover import TakeoverWait
from burdockgap.shards.term_start import TermStart, most_cautious
from burdockgap.shards.voters import heard_names, hears_majority

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.roster import Roster
    from burdockgap.shards.control_store import ControlStore
    from burdockgap.shards.control_view import ControlView

_TICK_INTERVAL_S = 0.1

_NO_MAJORITY_TIMEOUT_S = 5.0
"""After this time without a majority, the members that still report
become the voters. Before that, a majority that is only cut off from
this member can elect another coordinator."""
_VOTER_TIMEOUT_S = 10.0
_VOTER_SETTLE_S = 0.6
"""Time for other members to report before the voters change."""

_RESIGN_AFTER_S = 0.4
"""Longer than a slow store takes to answer. A store that refuses this
instance may still serve others, so another member should take over."""
_INCUMBENT_WAIT_S = 1.0
"""Time for a coordinator to write its state again to a restored store,
before another member claims its role with possibly older knowledge."""


class Coordinator:
    """
    Extends leases and assigns keys while this member is coordinator.

    :param roster: the members.
    :param view: the newest control state that this daemon knows.
    :param store: reads and writes the stored control state.
    :param datagrams: receives reports and sends leases.
    :param clock: keeps counting while the machine is suspended.
    :param keyed_services: returns the services whose keys are owned.
    :param data_centres_out: returns the data centres that are taken out
        of service.
    :param on_event: logs a decision.
    :param on_deferred: called when a claim has to wait, as no majority
        is heard.
    :ivar term: the last term that this member claimed, 0 before that.
    """

    __slots__ = (
        "_assigner",
        "_authority",
        "_reports",
        "_required_revisions",
        "_clock",
        "_failing_since",
        "_datagrams",
        "_keyed_services",
        "_on_deferred",
        "_on_event",
        "_roster",
        "_store",
        "_takeover_wait",
        "_view",
        "_lease_denied_names",
        "_pending_voters",
        "_data_centres_out",
        "_incumbent_wait",
        "_awaited_voters",
        "_claimed_start",
        "_start",
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
        on_deferred: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_deferred = on_deferred
        self._roster = roster
        self._view = view
        self._store = store
        self._clock = clock
        self._datagrams = datagrams
        self._keyed_services = keyed_services
        self._data_centres_out = data_centres_out
        self._on_event = on_event
        self._claimed_start: TermStart | None = None
        self._awaited_voters: tuple[str, ...] = ()
        self._incumbent_wait = (0, 0.0)
        self._takeover_wait = TakeoverWait()
        self._reset(term=0, start=TermStart.SUCCESSION)
        datagrams.handlers[REPORT] = self._handle_report

    @property
    def is_resigning(self) -> bool:
        """Whether another should take over, as writes keep failing."""
        return (
            self.is_active
            and self._failing_since is not None
            and self._clock.now() - self._failing_since > _RESIGN_AFTER_S
        )

    @property
    def is_active(self) -> bool:
        """Whether this member acts as coordinator."""
        state, own = self._view.state, self._roster.own
        return (
            self.term > 0
            and self.term == state.term
            and state.coordinator == own.name
            and state.incarnation == own.incarnation
        )

    @property
    def is_claim_deferred(self) -> bool:
        """Whether this member waits to replace the voters."""
        return self._takeover_wait.is_known_to_last(self._clock.now())

    async def claim(self, answered_at: float) -> bool:
        """
        Claim the role of coordinator for the next term.

        A member that does not hear a majority of the voters claims it
        only after :class:`TakeoverWait`, with the members that it hears
        as the new voters.

        :param answered_at: when the coordinator last answered a report
            of this member, in seconds.
        :return: whether the claim is known to have taken effect.
        """
        if self._must_wait():
            return False
        try:
            stored = await self._store.read() or ControlState()
            self._note_position(stored)
            if self._is_own_claim(stored):
                # An earlier claim took effect, but its reply was lost.
                self._begin(stored, self._claimed_start or TermStart.RECOVERY)
                return True
            if stored.term > self._view.state.term:
                # Another member's claim came first.
                self._view.adopt(stored)
                self._claimed_start = None
                return False
            # The store may have lost states that members still know.
            base = max(
                stored, self._view.state, key=lambda state: state.version
            )
            if (plan := self._plan_claim(base, answered_at)) is None:
                return False
            claimed, start = plan
            # Any of the claims without a reply may have taken effect.
            self._claimed_start = most_cautious(start, self._claimed_start)
            sent_at = self._clock.now()
            await self._store.write(claimed)
        except StoreError as exc:
            self._on_event("claim_failed", {"why": str(exc)})
            return False
        self._begin(claimed, start)
        self._note_write(claimed, sent_at)
        if base.term:
            self._broadcast_changes(base, claimed)
        return True

    async def run(self) -> None:
        """
        Update the control state regularly until cancelled.

        Has no effect while another member is coordinator.
        """
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            await self._tick()

    def _plan_claim(
        self, base: ControlState, answered_at: float
    ) -> tuple[ControlState, TermStart] | None:
        """Return a claim of the next term, ``None`` if too early."""
        start = self._start_from(base)
        if start is TermStart.RECOVERY and self._is_incumbent_awaited():
            return None
        claimed = self._claimed_state(base, start)
        is_first = start is TermStart.FIRST
        if not is_first and not hears_majority(self._roster, claimed.voters):
            self._awaited_voters = claimed.voters
            if not self._may_take_over(base, answered_at):
                self._on_event(
                    "claim_deferred", {"voters": len(claimed.voters)}
                )
                self._on_deferred()
                return None
            start = TermStart.REPLACEMENT
            claimed.voters = tuple(sorted(heard_names(self._roster)))
        return claimed, start

    def _must_wait(self) -> bool:
        """Return whether a claim is known to be too early."""
        return self.is_claim_deferred and not hears_majority(
            self._roster, self._awaited_voters
        )

    def _may_take_over(self, state: ControlState, answered_at: float) -> bool:
        """Return whether this member may replace a state's voters."""
        return self._takeover_wait.is_over(
            self._clock.now(),
            answered_at=answered_at,
            is_voter=self._roster.own.name in state.voters,
        )

    def _note_write(self, state: ControlState, sent_at: float) -> None:
        """Note a write of this term that took effect."""
        self._authority.confirm(sent_at)
        self._note_position(state)

    def _note_position(self, state: ControlState) -> None:
        # A state may have been known for long, but newer ones be lost.
        version = None if self._has_lost(state) else state.version
        self._takeover_wait.note_position(
            self._store.position, version, self._clock.now()
        )

    def _has_lost(self, state: ControlState) -> bool:
        """Return whether the store may lack states after this one."""
        return self._store.has_lost(state if state.term else None)

    def _is_own_claim(self, state: ControlState) -> bool:
        own = self._roster.own
        return (
            state.coordinator == own.name
            and state.incarnation == own.incarnation
            and state.term > self.term
            and not self._store.has_lost(state)
        )

    def _start_from(self, base: ControlState) -> TermStart:
        if self._has_lost(base):
            return TermStart.RECOVERY
        return TermStart.SUCCESSION if base.term else TermStart.FIRST

    def _is_incumbent_awaited(self) -> bool:
        """
        Return whether the coordinator may still write its state again.

        It knows what the store has lost; nobody else certainly does.
        """
        state = self._view.state
        member = self._roster.member(state.coordinator)
        if (
            member is None
            or member.name == self._roster.own.name
            or member.incarnation != state.incarnation
            or not self._roster.is_alive(member.name)
        ):
            return False
        now = self._clock.now()
        generation, until = self._incumbent_wait
        if generation != self._store.generation:
            until = now + _INCUMBENT_WAIT_S
            self._incumbent_wait = (self._store.generation, until)
        return now < until

    def _claimed_state(
        self, base: ControlState, start: TermStart
    ) -> ControlState:
        claimed = base.successor()
        claimed.begin_term(self._store.generation)
        claimed.coordinator = self._roster.own.name
        claimed.incarnation = self._roster.own.incarnation
        voters = set(claimed.voters)
        if start is TermStart.RECOVERY:
            claimed.recover()
            # An outdated state may name too few voters, whose majority
            # need not include a follower of an earlier coordinator.
            entries = self._roster.entries()
            voters |= {entry.member.name for entry in entries}
            voters.add(self._roster.own.name)
        if not voters:
            voters = {member.name for member in self._roster.live()}
        claimed.voters = tuple(sorted(voters))
        return claimed

    def _begin(self, state: ControlState, start: TermStart) -> None:
        self._reset(term=state.term, start=start)
        self._view.adopt(state)
        self._on_event(
            "claimed",
            {
                "term": state.term,
                "revision": state.revision,
                "next_fence": state.next_fence,
                "start": start.value,
                "voters": len(state.voters),
            },
        )

    def _reset(self, *, term: int, start: TermStart) -> None:
        now = self._clock.now()
        self._claimed_start = None
        self.term = term
        self._start = start
        self._authority = Authority(
            now,
            no_earlier_leases=start
            in (TermStart.FIRST, TermStart.REPLACEMENT),
        )
        self._reports = LatestReports(
            authority=self._authority, since=now, term=term
        )
        self._assigner = Assigner(
            roster=self._roster,
            reports=self._reports,
            keyed_services=self._keyed_services,
            data_centres_out=self._data_centres_out,
        )
        self._failing_since: float | None = None
        self._lease_denied_names: set[str] = set()
        self._pending_voters: tuple[str, ...] = ()
        self._required_revisions = RequiredRevisions()

    def _handle_report(self, values: list[Any]) -> None:
        report = Report.from_values(values)
        now = self._clock.now()
        state = self._view.state
        if not self.is_active or report.term != self.term:
            return
        self._reports.record(report, now)
        self._authority.vote(report.name, report.echo)
        self._authority.note_majority(now, state.voters)
        self._assigner.add_key_samples(report, now)
        lease_s = 0.0
        if self._may_lease(report.name, now):
            lease_s = max(min(LEASE_S, self._authority_until() - now), 0.0)
            self._reports.note_lease(report.name, now + lease_s)
        member = self._roster.member(report.name)
        if member is None:
            return
        self._datagrams.send(
            member.address,
            LEASE,
            self._roster.own.incarnation,
            self.term,
            state.revision,
            self._required_revisions.of(report, state.revision, now),
            now,
            report.sent_at,
            lease_s,
        )

    def _may_lease(self, name: str, now: float) -> bool:
        if name in self._lease_denied_names:
            return False
        # After a recovery the assignment may not name the members that
        # hold keys under the lease of an earlier coordinator.
        return (
            self._start is not TermStart.RECOVERY
            or self._authority.are_earlier_leases_expired(now)
        )

    def _authority_until(self) -> float:
        until = self._authority.until(self._view.state.voters)
        if self._pending_voters:
            until = min(until, self._authority.until(self._pending_voters))
        return until

    async def _tick(self) -> None:
        now = self._clock.now()
        self._takeover_wait.note_version(self._view.version, now)
        if not self.is_active:
            return
        self._authority.note_majority(now, self._view.state.voters)
        has_authority = self._authority_until() > now
        before = self._view.state
        has_majority = self._authority.has_majority(now, before.voters)
        state = before.successor()
        reasons: list[str] = []
        dropped_names: set[str] = set()
        if self._store.has_lost(before):
            if not has_authority:
                self._give_up_unless_recent(now)
                return
            reasons.append("restored")
        if self._update_voters(state, now, has_majority=has_majority):
            reasons.append("voters")
        if has_majority and self._authority.needs_confirmation(
            now, before.voters
        ):
            reasons.append("confirmed")
        if has_authority:
            planned, dropped_names = self._assigner.plan(state, now)
            reasons += planned
        if not reasons:
            return
        self._lease_denied_names = dropped_names
        self._pending_voters = state.voters
        try:
            await self._write(before, state, reasons)
        finally:
            # The state may have been known to others since the write.
            self._required_revisions.note_revision(
                self._view.state.revision, dropped_names, now
            )
            self._lease_denied_names = set()
            self._pending_voters = ()

    def _give_up_unless_recent(self, now: float) -> None:
        """
        End the term if its state was lost and no majority follows it.

        A later claim may be lost as well. Only a majority or a claim of
        a new term can rule out that another coordinator acts.
        """
        if now - self._reports.since < _NO_MAJORITY_TIMEOUT_S:
            return
        self._on_event("term_ended", {"term": self.term})
        self._reset(term=0, start=TermStart.SUCCESSION)

    async def _write(
        self, before: ControlState, state: ControlState, reasons: list[str]
    ) -> None:
        while True:
            sent_at = self._clock.now()
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
                if await self._resolve_failed_write(state):
                    return
                await asyncio.sleep(_TICK_INTERVAL_S)
                continue
            self._failing_since = None
            write_s = self._clock.now() - sent_at
            self._note_write(state, sent_at)
            size = self._broadcast_changes(before, state)
            self._view.adopt(state)
            self._on_event(
                "assigned",
                {
                    "term": state.term,
                    "revision": state.revision,
                    "why": reasons,
                    "ranges": sum(map(len, state.shards.values())),
                    "bytes": size,
                    "write_ms": round(write_s * 1000),
                    "reports": self._reports.count_fresh(self._clock.now()),
                    "voters": len(state.voters),
                },
            )
            return

    def _broadcast_changes(
        self, before: ControlState, after: ControlState
    ) -> int:
        """
        Send the changes of a revision to all members, best effort.

        Changes too large for a datagram are not sent; members fetch the
        whole state instead.

        :return: the size of the changes, in bytes.
        """
        data = ControlChanges.between(before, after).encode()
        if len(data) <= MAX_DATAGRAM_BYTES:
            for entry in self._roster.entries():
                self._datagrams.send(entry.member.address, CHANGES, data)
        return len(data)

    async def _resolve_failed_write(self, state: ControlState) -> bool:
        """
        Read the stored state after a write of unknown outcome.

        :return: whether the write needs no retry, because it took
            effect, another state was written, or this member is no
            longer coordinator.
        """
        while True:
            if not self.is_active:
                return True
            try:
                stored = await self._store.read()
                self._failing_since = None
                break
            except StoreError:
                await asyncio.sleep(_TICK_INTERVAL_S * random.uniform(1, 3))
        if stored is not None and stored.version >= state.version:
            self._view.adopt(stored)
            return True
        if (
            self._store.has_lost(state)
            and self._authority_until() <= self._clock.now()
        ):
            # The copy does not show whether this member was replaced.
            return True
        if stored is None:
            return False
        # The write failed or is still in flight. A retry is safe: both
        # require the same offset, so at most one of them takes effect.
        return self._view.state.term != self.term

    def _update_voters(
        self, state: ControlState, now: float, *, has_majority: bool
    ) -> bool:
        """
        Update the voters to the members that report.

        With a majority, a silent member stays a voter for
        :data:`_VOTER_TIMEOUT_S`.

        :param state: changed in place.
        :return: whether the voters changed.
        """
        if now - self._reports.since < _VOTER_SETTLE_S:
            return False
        voters = set(self._reports.fresh(now))
        if has_majority:
            voters |= {
                name
                for name in state.voters
                if self._reports.silent_s(name, now) < _VOTER_TIMEOUT_S
            }
        elif not self._may_replace_voters(state, now):
            return False
        if not voters or set(state.voters) == voters:
            return False
        state.voters = tuple(sorted(voters))
        return True

    def _may_replace_voters(self, state: ControlState, now: float) -> bool:
        """
        Return whether those that report may become the only voters.

        Once leases of earlier terms are ruled out, only a claim in the
        store can make another member act, and the write would fail.
        """
        if self._authority.safe_at is None:
            return self._may_take_over(state, answered_at=0.0)
        lost_at = max(
            self._authority.majority_voted_at(state.voters),
            self._reports.since,
        )
        return now - lost_at >= _NO_MAJORITY_TIMEOUT_S
