"""The member's part in leases and in the coordinator's election."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from burdockgap.fleet.datagrams import LEASE, REPORT
from burdockgap.metadata.store_error import StoreError
from burdockgap.shards.claim_support import ClaimSupport
from burdockgap.shards.claim_turn import ClaimTurn
from burdockgap.shards.coordinator_watch import CoordinatorWatch
from burdockgap.shards.lease import (
    AUTHORITY_S,
    CLOCK_RATE,
    REPORT_INTERVAL_S,
)
from burdockgap.shards.lease_monitor import LeaseMonitor
from burdockgap.shards.reports import TARGET_UNKNOWN, Report

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from burdockgap.clock import Clock
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.load import Load
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.control_store import ControlStore
    from burdockgap.shards.control_view import ControlView
    from burdockgap.shards.lease import Lease
    from burdockgap.shards.shard_holder import ShardHolder

_READ_RETRY_S = 0.3
_TARGET_GRACE_S = 2.5
"""Time after the start in which a silent target is reported as unknown
instead of down."""


class Reporter:
    """
    Reports to the coordinator, and claims its role if it fails.

    :param roster: the members.
    :param view: the newest control state that this daemon knows.
    :param store: reads the stored control state.
    :param datagrams: sends reports and receives leases.
    :param clock: keeps counting while the machine is suspended.
    :param lease: extended by the coordinator's answers.
    :param target: state of the local target.
    :param holder: returns the holder of the target's ranges, ``None``
        if there is none.
    :param load: returns the target's load.
    :param is_active: returns whether this member acts as coordinator.
    :param claim: tries to become coordinator; gets the time of the last
        answered report in seconds, and returns whether it did.
    :param pull: fetches the control state from a member that knows a
        given term and revision.
    :param on_event: logs state changes.
    :ivar monitor: reports when the lease runs out.
    """

    __slots__ = (
        "_claim",
        "_clock",
        "_datagrams",
        "_echo",
        "_holder",
        "_is_active",
        "_lease",
        "_load",
        "_on_event",
        "_pull",
        "_roster",
        "_started_at",
        "_store",
        "_target",
        "_tasks",
        "_term",
        "_turn",
        "_view",
        "_watch",
        "monitor",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        view: ControlView,
        store: ControlStore,
        datagrams: Datagrams,
        clock: Clock,
        lease: Lease,
        target: TargetState,
        holder: Callable[[], ShardHolder | None],
        load: Callable[[], Load],
        is_active: Callable[[], bool],
        claim: Callable[[float], Awaitable[bool]],
        pull: Callable[[Member, tuple[int, int]], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._roster = roster
        self._view = view
        self._store = store
        self._datagrams = datagrams
        self._clock = clock
        self._lease = lease
        self._target = target
        self._holder = holder
        self._load = load
        self._is_active = is_active
        self._claim = claim
        self._pull = pull
        self._on_event = on_event
        self.monitor = LeaseMonitor(
            clock=clock, lease=lease, on_event=on_event
        )
        self._started_at = clock.now()
        self._watch = CoordinatorWatch(roster=roster, view=view, clock=clock)
        self._turn = ClaimTurn(
            roster=roster,
            view=view,
            clock=clock,
            support=ClaimSupport(
                roster=roster,
                view=view,
                datagrams=datagrams,
                clock=clock,
                supports=self._watch.supports,
            ),
        )
        self._term = 0
        self._echo = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        datagrams.handlers[LEASE] = self._handle_lease

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task and keep a reference."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel the background tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def run(self) -> None:
        """Read the stored state, then report until cancelled."""
        await self._read_stored_state()
        while True:
            self._report()
            if self._holder() is not None:
                self.monitor.check(self._view.version)
            pause_s = REPORT_INTERVAL_S
            if self._coordinator_is_lost():
                pause_s = min(await self._try_claim(), REPORT_INTERVAL_S)
            else:
                self._turn.reset()
            await asyncio.sleep(pause_s)

    async def _read_stored_state(self) -> None:
        """
        Read the stored state.

        Without it, this daemon could vote for a coordinator although an
        earlier process of it already followed a later one. If the store
        may have lost the later one, this waits until the votes of the
        earlier process no longer count.
        """
        while True:
            try:
                state = await self._store.read()
                break
            except StoreError as exc:
                self._on_event("control_unread", {"why": str(exc)})
                await asyncio.sleep(_READ_RETRY_S * random.uniform(0.5, 1.5))
        if state is not None:
            self._view.adopt(state)
        if self._store.has_lost(state):
            await asyncio.sleep(AUTHORITY_S * CLOCK_RATE)
        self._watch.begin_term()

    def _report(self) -> None:
        state, now = self._view.state, self._clock.now()
        if state.term != self._term:
            self._term, self._echo = state.term, 0.0
            self._watch.begin_term()
        self._watch.note_report(now)
        member = self._roster.member(state.coordinator)
        if member is None:
            return
        holder = self._holder()
        seen, keys = holder.samples.take() if holder else (0, [])
        is_awaited = holder is not None and holder.may_be_held_by_successor
        report = Report(
            name=self._roster.own.name,
            incarnation=self._roster.own.incarnation,
            term=state.term,
            # A daemon without a configuration applies no assignment.
            revision=state.revision if holder else 0,
            sent_at=now,
            echo=self._echo,
            born=TARGET_UNKNOWN if is_awaited else self._reported_born(),
            takes_work=self._target.takes_work
            and not self._roster.own.leaving
            and not is_awaited,
            pending=holder.pending if holder else [],
            unusable=holder.unusable if holder else [],
            seen=seen,
            keys=keys,
            load=self._load(),
        )
        self._datagrams.send(member.address, REPORT, *report.values())

    def _reported_born(self) -> int:
        if self._target.info is not None:
            return self._target.born
        uptime_s = self._clock.now() - self._started_at
        return TARGET_UNKNOWN if uptime_s < _TARGET_GRACE_S else 0

    def _handle_lease(self, values: list[Any]) -> None:
        (
            incarnation,
            term,
            revision,
            required_revision,
            coordinator_time,
            sent_at,
            lease_s,
        ) = values
        state = self._view.state
        if term != state.term or incarnation != state.incarnation:
            return
        self._watch.note_answer(sent_at)
        self._echo = max(self._echo, coordinator_time)
        if revision > state.revision:
            member = self._roster.member(state.coordinator)
            if member is not None:
                self._pull(member, (term, revision))
        if required_revision <= state.revision:
            self._lease.extend(sent_at, lease_s)
        self.monitor.note(
            sent_at,
            lease_s,
            is_outdated=required_revision > state.revision,
        )

    def _coordinator_is_lost(self) -> bool:
        state = self._view.state
        own = self._roster.own
        if state.coordinator == own.name:
            return not self._is_active()
        if state.term == 0 or self._watch.is_lost():
            return True
        return not self._turn.is_backing_off and (
            self._watch.is_stepping_down() or self._watch.is_outranked_by(own)
        )

    async def _try_claim(self) -> float:
        """
        Claim the coordinator's role once it is this member's turn.

        :return: time until the next attempt, in seconds.
        """
        pause_s = self._turn.wait_s()
        if pause_s > 0:
            return pause_s
        if not await self._claim(self._watch.answered_at):
            self._turn.note_failure()
        return REPORT_INTERVAL_S
