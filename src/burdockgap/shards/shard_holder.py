"""Grants, renewals and releases of key ranges at the local target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.shards.grant_client import CALL_TIMEOUT_S, GrantClient
from burdockgap.shards.holding import Holding, carry_over
from burdockgap.shards.key_samples import KeySamples
from burdockgap.shards.lease import CLOCK_RATE, LEASE_S, MARGIN_S, Lease
from burdockgap.shards.revocations import Revocations
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.clock import Clock
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.control_state import ControlState
    from burdockgap.shards.shard import Shard

    ReleaseCall = Callable[[str, Shard, int], Awaitable[str | None]]

_STEP_INTERVAL_S = 0.1
_RENEW_BELOW_S = 0.7
"""Remaining time of a grant below which it is renewed; leaves time for
two retries of a lost renewal."""
_RELEASE_RETRY_S = 0.15
_GRANT_POLL_INTERVAL_S = 0.01
_OK = 200
_CONFLICT = 409


class ShardHolder:
    """
    Keeps the target's grants consistent with the assignment and lease.

    :param service: the keyed service.
    :param name: this member's name.
    :param clock: keeps counting while the machine is suspended.
    :param lease: upper bound for the duration of every grant.
    :param state: state of the local target.
    :param protocol: encodes and decodes the target's messages.
    :param release: asks another member to release a range held under
        a fencing token; returns its handover, or ``None`` if it could
        not release the range.
    :param on_event: logs decisions and state changes.
    :ivar samples: keys of recent requests.
    """

    __slots__ = (
        "_grant_client",
        "_changed",
        "_clock",
        "_grant_task",
        "_holdings",
        "_loop",
        "_former_holdings",
        "_name",
        "_on_event",
        "_release",
        "_revocations",
        "_started_at",
        "_state",
        "_tasks",
        "lease",
        "samples",
        "service",
    )

    def __init__(
        self,
        *,
        service: str,
        name: str,
        clock: Clock,
        lease: Lease,
        state: TargetState,
        protocol: TargetProtocol,
        release: ReleaseCall,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.service = service
        self._name = name
        self._clock = clock
        self.lease = lease
        self._state = state
        self._grant_client = GrantClient(
            state=state, protocol=protocol, on_event=on_event
        )
        self._release = release
        self._on_event = on_event
        self._holdings: list[Holding] = []
        self._former_holdings: list[Holding] = []
        self._revocations = Revocations()
        self._grant_task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._started_at = clock.now()
        self._tasks: set[asyncio.Task[None]] = set()
        self.samples = KeySamples()

    @property
    def pending(self) -> list[list[int]]:
        """
        Ranges that not all earlier holders have released.

        Each is a list of first key, last key and fencing token.
        """
        return [
            [holding.shard.first, holding.shard.last, holding.shard.fence]
            for holding in self._holdings
            if not holding.cleared
        ]

    @property
    def unusable(self) -> list[list[int]]:
        """
        Ranges that need a higher fencing token.

        The target rejected theirs as too low, or another process may
        have had it. Each is a list of first key, last key and fencing
        token.
        """
        return [
            [holding.shard.first, holding.shard.last, holding.shard.fence]
            for holding in self._holdings
            if holding.rejected
            or self._grant_client.is_token_used_up(holding.shard.fence)
        ]

    @property
    def may_be_held_by_successor(self) -> bool:
        """
        Whether a new process may hold ranges of the one before it.

        It may have been granted them before it announced itself. Nobody
        else may be assigned them until these grants have expired.
        """
        return bool(self._held_by_successor())

    @property
    def held_key_count(self) -> int:
        """Number of keys that the target holds now."""
        now = self._clock.now()
        return sum(
            holding.shard.size
            for holding in self._holdings
            if holding.granted and holding.hold_until > now
        )

    def adopt(self, state: ControlState) -> None:
        """Apply a new assignment, or the target's new incarnation."""
        born = self._state.born
        before = self._holdings
        after: list[Holding] = []
        for shard in state.shards.get(self.service, []):
            if shard.owner != self._name or shard.born != born or not born:
                continue
            after.append(carry_over(shard, before))
        kept = {id(holding) for holding in after}
        now = self._clock.now()
        for holding in before:
            if id(holding) in kept:
                continue
            if holding.takeover_task is not None:
                holding.takeover_task.cancel()
                holding.takeover_task = None
            self._former_holdings.append(holding)
        self._former_holdings = [
            holding
            for holding in self._former_holdings
            if holding.may_be_held(now)
        ]
        self._holdings = after
        self._grant_client.retain_tokens(
            [
                *(
                    shard.fence
                    for shard in state.shards.get(self.service, [])
                    if shard.owner == self._name
                ),
                *(holding.shard.fence for holding in self._former_holdings),
            ]
        )
        self._notify_waiters()

    def check(self, key: int) -> None:
        """
        Check that the target certainly holds a key now.

        :raises Refusal: with ``not-run`` if that is not certain.
        """
        holding = self._find_holding(key)
        if holding is None or self._revocations.include_key(
            key, holding.shard.fence
        ):
            raise Refusal(Verdict.NOT_RUN, Reason.NOT_OWNER)
        if holding.granted and holding.hold_until > self._clock.now():
            return
        reason = Reason.ACTIVATING if not holding.granted else Reason.NO_LEASE
        raise Refusal(Verdict.NOT_RUN, reason)

    async def wait_until_held(self, key: int, wait_s: float) -> None:
        """
        Wait until the target holds an owned key.

        :param wait_s: longest wait, in seconds.
        :raises Refusal: with ``not-run`` if this member does not own
            the key, or the target does not hold it in time.
        """
        until = self._loop.time() + wait_s
        while True:
            try:
                self.check(key)
                return
            except Refusal as exc:
                remaining_s = until - self._loop.time()
                if exc.reason is Reason.NOT_OWNER or remaining_s <= 0:
                    raise
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def release_range(self, first: int, last: int, fence: int) -> str:
        """
        Release a range at the target so that the next owner can use it.

        Returns once the target no longer holds the range and no
        request on it is running.

        :param fence: the fencing token under which it was held.
        :return: the target's handover, "" if there is none.
        """
        self._revocations.add(
            first, last, fence, [holding.shard for holding in self._holdings]
        )
        while any(
            holding.granting for holding in self._overlapping(first, last)
        ):
            await asyncio.sleep(_GRANT_POLL_INTERVAL_S)
        for holding in self._overlapping(first, last):
            holding.granted = False
        if self._state.ended:
            return ""
        may_be_held_until = self._unanswered_until(first, last)
        handover = await self._grant_client.release(first, last, fence)
        if handover is None:
            may_be_held_until = max(
                may_be_held_until, self._held_until(first, last)
            )
            handover = ""
        pause_s = may_be_held_until - self._clock.now()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        self._log_event(
            "released", first, last, fence, handover=bool(handover)
        )
        return handover

    def cancel(self) -> None:
        """Cancel grants and takeovers in progress."""
        for task in list(self._tasks):
            task.cancel()

    async def run(self) -> None:
        """Take over, grant and renew ranges until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._grant_client.maintain_links())
            tasks.create_task(self._run_steps())

    async def _run_steps(self) -> None:
        while True:
            changed = self._changed
            self._step()
            try:
                async with asyncio.timeout(_STEP_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                continue

    def _step(self) -> None:
        self._start_takeovers()
        hold_s = self.lease.hold_s()
        if hold_s <= MARGIN_S:
            return
        now = self._clock.now()
        holdings: list[Holding] = []
        for holding in self._holdings:
            due = holding.cleared and holding.hold_until - now < _RENEW_BELOW_S
            extends = now + hold_s > holding.hold_until + MARGIN_S
            is_idle = not holding.granting and not holding.rejected
            if (
                due
                and extends
                and is_idle
                and not self._revocations.include(holding.shard)
                and self._grant_client.may_grant(holding.shard)
            ):
                holdings.append(holding)
        # Sequential, because a server refuses many connections at once.
        if holdings and (self._grant_task is None or self._grant_task.done()):
            self._grant_task = self._spawn(self._grant_all(holdings))

    def _start_takeovers(self) -> None:
        for holding in self._holdings:
            if not holding.cleared and holding.takeover_task is None:
                holding.takeover_task = self._spawn(self._take_over(holding))
        for holding in self._held_by_successor():
            if holding.takeover_task is None:
                holding.takeover_task = self._spawn(
                    self._release_from_successor(holding)
                )

    async def _grant_all(self, holdings: list[Holding]) -> None:
        for holding in holdings:
            hold_s = self.lease.hold_s()
            if hold_s <= MARGIN_S or self._revocations.include(holding.shard):
                continue
            if holding not in self._holdings:
                continue
            if not self._grant_client.may_grant(holding.shard):
                continue
            if not await self._grant(holding, hold_s):
                return

    async def _grant(self, holding: Holding, hold_s: float) -> bool:
        """Send a grant; return whether the target answered."""
        shard = holding.shard
        holding.granting = True
        handover = "" if holding.granted else holding.handover
        sent_at = self._clock.now()
        answered_until = holding.unanswered_until
        # Until the target answers, it may apply the grant at any time.
        holding.unanswered_until = (
            sent_at + CALL_TIMEOUT_S + hold_s * CLOCK_RATE
        )
        try:
            status = await self._grant_client.grant(shard, hold_s, handover)
        except (ExchangeError, TimeoutError) as exc:
            self._log_event(
                "grant_unanswered",
                shard.first,
                shard.last,
                shard.fence,
                why=str(exc) or "timeout",
            )
            return False
        finally:
            holding.granting = False
        holding.unanswered_until = answered_until
        if status == _OK:
            is_first = not holding.granted
            holding.granted = True
            holding.hold_until = max(holding.hold_until, sent_at + hold_s)
            holding.may_hold_until = max(
                holding.may_hold_until, self._clock.now() + hold_s * CLOCK_RATE
            )
            if is_first:
                self._log_event(
                    "granted", shard.first, shard.last, shard.fence
                )
            self._notify_waiters()
            return True
        holding.rejected = status == _CONFLICT
        self._log_event(
            "grant_refused",
            shard.first,
            shard.last,
            shard.fence,
            status=status,
        )
        return True

    async def _take_over(self, holding: Holding) -> None:
        handover = ""
        for name, fence in holding.shard.previous:
            while True:
                answer = await self._request_release(
                    name, holding.shard, fence
                )
                if answer is not None:
                    handover = answer or handover
                    break
                await asyncio.sleep(_RELEASE_RETRY_S)
        holding.handover = handover
        holding.cleared = True
        self._notify_waiters()

    def _held_by_successor(self) -> list[Holding]:
        """Return what a new process may hold in place of another."""
        now, born = self._clock.now(), self._state.born
        if not born:
            return []
        return [
            holding
            for holding in [*self._holdings, *self._former_holdings]
            if holding.shard.born != born
            and holding.may_be_held(now)
            and self._grant_client.may_be_held_by_another(holding.shard)
        ]

    async def _release_from_successor(self, holding: Holding) -> None:
        shard = holding.shard
        await self.release_range(shard.first, shard.last, shard.fence)
        holding.expire()

    async def _request_release(
        self, name: str, shard: Shard, fence: int
    ) -> str | None:
        if name == self._name:
            return await self.release_range(shard.first, shard.last, fence)
        try:
            return await self._release(name, shard, fence)
        except PeerCallError as exc:
            self._log_event(
                "release_unanswered",
                shard.first,
                shard.last,
                fence,
                holder=name,
                why=str(exc),
            )
            return None

    def _overlapping(self, first: int, last: int) -> list[Holding]:
        return [
            holding
            for holding in [*self._holdings, *self._former_holdings]
            if holding.shard.overlaps(first, last)
        ]

    def _unanswered_until(self, first: int, last: int) -> float:
        """Return when the last unanswered grant has expired."""
        holdings = self._overlapping(first, last)
        until = [holding.unanswered_until for holding in holdings]
        # An earlier daemon process may have sent grants to this target.
        return max([*until, self._started_at + LEASE_S])

    def _held_until(self, first: int, last: int) -> float:
        """Return when every grant sent so far has certainly expired."""
        holdings = self._overlapping(first, last)
        until = [
            max(holding.may_hold_until, holding.unanswered_until)
            for holding in holdings
        ]
        return max([*until, self._started_at + LEASE_S]) + MARGIN_S

    def _find_holding(self, key: int) -> Holding | None:
        for holding in self._holdings:
            if holding.shard.first <= key <= holding.shard.last:
                return holding
        return None

    def _notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _spawn(self, coroutine: Awaitable[None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(
            coroutine  # type: ignore[arg-type]
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _log_event(
        self, event: str, first: int, last: int, fence: int, **fields: object
    ) -> None:
        fields.update(
            service=self.service,
            first=first,
            last=last,
            fence=fence,
            born=self._state.born,
            lease_s=round(self.lease.hold_s(), 3),
        )
        self._on_event(event, fields)
