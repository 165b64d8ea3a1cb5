"""The keys that the target beside this daemon holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.hop.link_error import LinkError
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.shards.holding import Holding
from burdockgap.shards.key_calls import CALL_TIMEOUT_S, KeyCalls
from burdockgap.shards.key_samples import KeySamples
from burdockgap.shards.lease import CLOCK_RATE, LEASE_S, MARGIN_S, Lease
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.clock import Clock
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.control_state import ControlState
    from burdockgap.shards.shard import Shard

    ReleaseCall = Callable[[str, Shard, int], Awaitable[str | None]]

_TICK_S = 0.1
_RENEW_BELOW_S = 0.7
"""Left of a grant when it is renewed; a lost renewal is repeated
twice."""
_ASK_AGAIN_S = 0.15
_GRANT_POLL_S = 0.01
_MOST_REVOKED = 256
_OK = 200
_CONFLICT = 409


class ShardHolder:
    """
    Keeps the target's grants in step with the assignment and the lease.

    :param service: the keyed service.
    :param name: this member's name.
    :param clock: runs on through suspension.
    :param lease: bounds every grant.
    :param state: what is known of the target.
    :param protocol: what the target speaks.
    :param release: asks another member to let go of a range under a
        fencing token; returns its handover, or ``None`` if it could
        not.
    :param on_event: logs a decision or change of belief.
    :ivar samples: keys asked for lately.
    """

    __slots__ = (
        "_calls",
        "_changed",
        "_clock",
        "_granter",
        "_holdings",
        "_loop",
        "_lost",
        "_name",
        "_on_event",
        "_release",
        "_revoked",
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
        self._calls = KeyCalls(state=state, protocol=protocol)
        self._release = release
        self._on_event = on_event
        self._holdings: list[Holding] = []
        self._lost: list[Holding] = []
        self._revoked: list[tuple[int, int, int]] = []
        self._granter: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._started_at = clock.now()
        self._tasks: set[asyncio.Task[None]] = set()
        self.samples = KeySamples()

    @property
    def pending(self) -> list[list[int]]:
        """Ranges whose earlier holders have not all let go."""
        return [
            [item.shard.first, item.shard.last, item.shard.fence]
            for item in self._holdings
            if not item.cleared
        ]

    @property
    def rejected(self) -> list[list[int]]:
        """Ranges whose fencing token the target refused as too low."""
        return [
            [item.shard.first, item.shard.last, item.shard.fence]
            for item in self._holdings
            if item.rejected
        ]

    @property
    def held_key_count(self) -> int:
        """Keys that the target holds now."""
        now = self._clock.now()
        return sum(
            item.shard.size
            for item in self._holdings
            if item.granted and item.hold_until > now
        )

    def adopt(self, state: ControlState) -> None:
        """Follow a new assignment, or the target's new life."""
        born = self._state.born
        before = self._holdings
        after: list[Holding] = []
        for shard in state.shards.get(self.service, []):
            if shard.owner != self._name or shard.born != born or not born:
                continue
            after.append(self._continued(shard, before))
        kept = {id(item) for item in after}
        now = self._clock.now()
        for item in before:
            if id(item) in kept:
                continue
            if item.taker is not None:
                item.taker.cancel()
            self._lost.append(item)
        self._lost = [item for item in self._lost if item.may_last(now)]
        self._holdings = after
        self._wake()

    def check(self, key: int) -> None:
        """
        Tell whether the target surely holds a key now.

        :raises Refusal: with ``not-run`` if it does not.
        """
        item = self._find(key)
        if item is None or self._is_revoked(key, item.shard.fence):
            raise Refusal(Verdict.NOT_RUN, Reason.NOT_OWNER)
        if item.granted and item.hold_until > self._clock.now():
            return
        reason = Reason.ACTIVATING if not item.granted else Reason.NO_LEASE
        raise Refusal(Verdict.NOT_RUN, reason)

    async def wait_until_held(self, key: int, wait_s: float) -> None:
        """
        Wait until the target holds an owned key.

        :raises Refusal: with ``not-run`` if it is not owned, or not
            held in time.
        """
        until = self._loop.time() + wait_s
        while True:
            try:
                self.check(key)
                return
            except Refusal as exc:
                left_s = until - self._loop.time()
                if exc.reason is Reason.NOT_OWNER or left_s <= 0:
                    raise
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def release_range(self, first: int, last: int, fence: int) -> str:
        """
        Take a range back from the target for its next owner.

        Returns once the target neither holds it nor works on it.

        :param fence: the fencing token under which it was held.
        :return: the target's handover, "" if there is none.
        """
        self._revoked.append((first, last, fence))
        del self._revoked[:-_MOST_REVOKED]
        while any(item.granting for item in self._overlapping(first, last)):
            await asyncio.sleep(_GRANT_POLL_S)
        for item in self._overlapping(first, last):
            item.granted = False
        if self._state.ended:
            return ""
        unsure_until = self._unanswered_until(first, last)
        handover = await self._calls.release(first, last, fence)
        if handover is None:
            unsure_until = max(unsure_until, self._held_until(first, last))
            handover = ""
        pause_s = unsure_until - self._clock.now()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        self._event("released", first, last, fence, handover=bool(handover))
        return handover

    def cancel(self) -> None:
        """End grants and takeovers that are on their way."""
        for task in list(self._tasks):
            task.cancel()

    async def run(self) -> None:
        """Take over, grant and renew for ever."""
        while True:
            changed = self._changed
            self._step()
            try:
                async with asyncio.timeout(_TICK_S):
                    await changed.wait()
            except TimeoutError:
                continue

    def _step(self) -> None:
        for item in self._holdings:
            if not item.cleared and item.taker is None:
                item.taker = self._spawn(self._take_over(item))
        hold_s = self.lease.hold_s()
        if hold_s <= MARGIN_S or not self._calls.may_grant():
            return
        now = self._clock.now()
        items: list[Holding] = []
        for item in self._holdings:
            due = item.cleared and item.hold_until - now < _RENEW_BELOW_S
            gains = now + hold_s > item.hold_until + MARGIN_S
            is_free = not item.granting and not item.rejected
            if due and gains and is_free and not self._gives_up(item):
                items.append(item)
        # One after the other, as a server refuses many connections.
        if items and (self._granter is None or self._granter.done()):
            self._granter = self._spawn(self._grant_all(items))

    async def _grant_all(self, items: list[Holding]) -> None:
        for item in items:
            hold_s = self.lease.hold_s()
            if not self._calls.may_grant():
                return
            if hold_s <= MARGIN_S or self._gives_up(item):
                continue
            if item not in self._holdings:
                continue
            if not await self._grant(item, hold_s):
                return

    async def _grant(self, item: Holding, hold_s: float) -> bool:
        """Send a grant and tell whether the target answered it."""
        shard = item.shard
        item.granting = True
        handover = "" if item.granted else item.handover
        sent_at = self._clock.now()
        answered_until = item.unanswered_until
        # Until it is answered, the target may take it at any moment.
        item.unanswered_until = sent_at + CALL_TIMEOUT_S + hold_s * CLOCK_RATE
        try:
            status = await self._calls.grant(shard, hold_s, handover)
        except (ExchangeError, TimeoutError) as exc:
            self._event(
                "grant_unanswered",
                shard.first,
                shard.last,
                shard.fence,
                why=str(exc) or "timeout",
            )
            return False
        finally:
            item.granting = False
        item.unanswered_until = answered_until
        if status == _OK:
            is_first = not item.granted
            item.granted = True
            item.hold_until = max(item.hold_until, sent_at + hold_s)
            item.may_hold_until = max(
                item.may_hold_until, self._clock.now() + hold_s * CLOCK_RATE
            )
            if is_first:
                self._event("granted", shard.first, shard.last, shard.fence)
            self._wake()
            return True
        item.rejected = status == _CONFLICT
        self._event(
            "grant_refused",
            shard.first,
            shard.last,
            shard.fence,
            status=status,
        )
        return True

    async def _take_over(self, item: Holding) -> None:
        handover = ""
        for name, fence in item.shard.previous:
            while True:
                got = await self._ask(name, item.shard, fence)
                if got is not None:
                    handover = got or handover
                    break
                await asyncio.sleep(_ASK_AGAIN_S)
        item.handover = handover
        item.cleared = True
        self._wake()

    async def _ask(self, name: str, shard: Shard, fence: int) -> str | None:
        if name == self._name:
            return await self.release_range(shard.first, shard.last, fence)
        try:
            return await self._release(name, shard, fence)
        except LinkError as exc:
            self._event(
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
            item
            for item in [*self._holdings, *self._lost]
            if _overlaps(item.shard, first, last)
        ]

    def _unanswered_until(self, first: int, last: int) -> float:
        """Return when the last unanswered grant has run out."""
        items = self._overlapping(first, last)
        until = [item.unanswered_until for item in items]
        # An earlier process beside the same target may have sent some.
        return max([*until, self._started_at + LEASE_S])

    def _held_until(self, first: int, last: int) -> float:
        """Return when nothing granted so far can be held any more."""
        items = self._overlapping(first, last)
        until = [
            max(item.may_hold_until, item.unanswered_until) for item in items
        ]
        return max([*until, self._started_at + LEASE_S]) + MARGIN_S

    def _continued(self, shard: Shard, before: list[Holding]) -> Holding:
        parts = []
        for item in before:
            fits = (
                item.shard.born == shard.born
                and item.shard.fence <= shard.fence
                and _overlaps(item.shard, shard.first, shard.last)
            )
            if not fits:
                continue
            is_equal = (
                item.shard.first == shard.first
                and item.shard.last == shard.last
                and item.shard.fence == shard.fence
            )
            if is_equal:
                item.shard = shard
                if not shard.previous and not item.cleared:
                    item.cleared = True
                return item
            parts.append(item)
        holding = Holding(shard)
        fences = {part.shard.fence for part in parts}
        if _covers(parts, shard) and (
            fences == {shard.fence} or not shard.previous
        ):
            holding.follow(parts)
            holding.cleared = holding.cleared or not shard.previous
        return holding

    def _find(self, key: int) -> Holding | None:
        for item in self._holdings:
            if item.shard.first <= key <= item.shard.last:
                return item
        return None

    def _gives_up(self, item: Holding) -> bool:
        return any(
            _overlaps(item.shard, first, last) and item.shard.fence <= token
            for first, last, token in self._revoked
        )

    def _is_revoked(self, key: int, fence: int) -> bool:
        return any(
            first <= key <= last and fence <= token
            for first, last, token in self._revoked
        )

    def _wake(self) -> None:
        """Let all that wait for a change look again."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _spawn(self, coroutine: Awaitable[None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self._loop.create_task(
            coroutine  # type: ignore[arg-type]
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _event(
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


def _covers(parts: list[Holding], shard: Shard) -> bool:
    """Tell whether parts in order of keys leave no gap in a range."""
    key = shard.first
    for part in parts:
        if part.shard.first > key:
            return False
        key = max(key, part.shard.last + 1)
    return key > shard.last


def _overlaps(shard: Shard, first: int, last: int) -> bool:
    return shard.first <= last and first <= shard.last
