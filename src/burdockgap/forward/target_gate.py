"""The only way in to the target beside this daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.load import Load
from burdockgap.forward.outcome import Outcome
from burdockgap.forward.run_log import RunLog
from burdockgap.forward.slots import Slots
from burdockgap.hop.listener import LINK_LOST
from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.call import Call
    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.shard_holder import ShardHolder
    from burdockgap.uplink import Uplink

_CONNECT_TIMEOUT_S = 0.5
_IDLE_S = 8.0
"""Below the 10 s after which the users' servers close."""
_UNSAFE_IDLE_S = 4.0
_QUEUE_SHARE = 0.5
_RETRY_AFTER_S = 0.1
_SIZE_LEARNING = 0.1
"""Weight of one large answer's size; sizes vary by half."""
_KEYS_LEAVE_S = 2.0
"""Time for keys to leave a data centre that is out; the users allow 5
s."""


class TargetGate:
    """
    Admits calls to the target and reports what came of each.

    :param service: the target's service.
    :param state: what is known of the target.
    :param protocol: what the target speaks.
    :param out_since: returns when operators took the data centre
        out, on the event loop's clock; ``None`` if it is in service.
    :param holder: keys that the target holds; ``None`` until known.
    :param uplink: what the machine sends.
    :param crashes: knows the requests that crash targets.
    :param on_event: logs a decision.
    :param on_outcome: counts an outcome and its time in seconds.
    :ivar leaving: whether this daemon is about to stop; only keys are
        served then, until they have moved.
    :ivar closed: whether every call is refused.
    """

    __slots__ = (
        "_crashes",
        "_large_bytes",
        "_large_running",
        "_life",
        "_loop",
        "_on_event",
        "_on_outcome",
        "_pool",
        "_protocol",
        "_runs",
        "_slots",
        "_state",
        "_out_since",
        "_uplink",
        "closed",
        "holder",
        "leaving",
        "service",
    )

    def __init__(
        self,
        *,
        service: str,
        state: TargetState,
        protocol: TargetProtocol,
        out_since: Callable[[], float | None],
        uplink: Uplink,
        crashes: CrashWatch,
        on_event: Callable[[str, dict[str, object]], None],
        on_outcome: Callable[[Outcome, float], None],
    ) -> None:
        self._uplink = uplink
        self._large_bytes = 0.0
        self._large_running = 0
        self._crashes = crashes
        self._on_outcome = on_outcome
        self._life = 0
        self._loop = asyncio.get_running_loop()
        self.service = service
        self._state = state
        self._protocol = protocol
        self._out_since = out_since
        self._on_event = on_event
        self._slots = Slots(size=1, queue_size=1)
        self._runs = RunLog()
        self._pool: ClientPool | None = None
        self.holder: ShardHolder | None = None
        self.leaving = False
        self.closed = False

    @property
    def load(self) -> Load:
        """The load now."""
        return Load(
            in_flight=self._slots.in_flight,
            waiting=self._slots.waiting,
            slots=self._slots.size,
            service_s=self._state.service_s,
            slowness=self._state.slowness,
            uplink_s=self._uplink_s,
        )

    @property
    def in_flight(self) -> int:
        """Requests at the target."""
        return self._slots.in_flight

    @property
    def _uplink_s(self) -> float:
        """Time until the link has sent all that is expected."""
        coming = self._large_running * self._large_bytes
        return self._uplink.backlog_s + self._uplink.sending_s(int(coming))

    def target_changed(self) -> None:
        """Follow a change of the target's state."""
        info = self._state.info
        if info is None:
            return
        if self._life and (self._state.ended or info.born != self._life):
            self._crashes.ended(self._life)
        self._life = info.born
        if self._pool is None or self._pool.address != info.address:
            self._pool = ClientPool(
                info.address,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                idle_s=_IDLE_S,
                on_unexpected=self._unexpected,
            )
        if not self._state.up:
            self._pool.close()
        self._slots.queue_size = max(round(info.slots * _QUEUE_SHARE), 1)
        self._slots.resize(info.slots)
        if not self._state.takes_work and self.holder is None:
            self._slots.refuse_waiting(Reason.DRAINING)

    async def serve(self, call: Call) -> Outcome:
        """Give a call to the target; the outcome tells if it ran."""
        began = self._loop.time()
        deadline = began + call.deadline_s
        if call.idempotent:
            outcome = await self._attempt(call, deadline)
        else:
            outcome = await self._attempt_once(call, deadline)
        outcome.load = self.load
        self._log(call, outcome, began)
        return outcome

    async def settle(self, request_id: str) -> Outcome:
        """
        Return what became of a call whose connection was lost.

        A call that has not arrived yet never runs after this.
        """
        return await asyncio.shield(self._runs.run(request_id, _never_ran))

    async def _attempt_once(self, call: Call, deadline: float) -> Outcome:
        run = self._runs.run(
            call.request_id, lambda: self._attempt(call, deadline)
        )
        try:
            outcome = await asyncio.shield(run)
        except asyncio.CancelledError as exc:
            # A peer that only lost its connection asks again.
            if exc.args != (LINK_LOST,):
                run.cancel()
            raise
        if outcome.verdict is Verdict.NOT_RUN:
            self._runs.forget(call.request_id)
        return outcome

    async def _attempt(self, call: Call, deadline: float) -> Outcome:
        began = self._loop.time()
        until = min(began + call.patience_s, deadline)
        try:
            self._crashes.check(call)
            self._check_open(call)
            if call.large and self._uplink_s > call.patience_s:
                raise _refusal(Reason.OVERLOADED)
            if self.holder is not None and call.key is not None:
                self.holder.samples.add(call.key)
                await self.holder.wait_until_held(call.key, until - began)
            await self._slots.acquire(
                priority=call.priority, wait_s=until - self._loop.time()
            )
        except Refusal as exc:
            return self._refused(exc)
        waited_s = self._loop.time() - began
        self._large_running += call.large
        try:
            outcome = await self._dispatch(call, deadline)
        except Refusal as exc:
            outcome = self._refused(exc)
        finally:
            self._large_running -= call.large
            self._slots.release()
        outcome.waited_s = waited_s
        return outcome

    def _check_open(self, call: Call) -> None:
        if call.service != self.service:
            raise _refusal(Reason.UNKNOWN_SERVICE)
        if self.closed:
            raise _refusal(Reason.DRAINING)
        if not self._state.up or self._state.info is None:
            raise _refusal(Reason.TARGET_DOWN)
        if call.key is not None:
            self._check_open_for_keys()
            return
        if self._out_since() is not None:
            raise _refusal(Reason.DATA_CENTRE_OUT)
        if not self._state.takes_work or self.leaving:
            raise _refusal(Reason.DRAINING)

    def _check_open_for_keys(self) -> None:
        if self.holder is None:
            # No configuration is known yet, so no keys are granted.
            raise _refusal(Reason.ACTIVATING)
        # Keys are served for a while longer, until they have moved.
        out_since, now = self._out_since(), self._loop.time()
        if out_since is not None and now - out_since > _KEYS_LEAVE_S:
            raise _refusal(Reason.DATA_CENTRE_OUT)

    async def _dispatch(self, call: Call, deadline: float) -> Outcome:
        # The wait for the slot may have changed any of the answers.
        self._check_open(call)
        if self.holder is not None and call.key is not None:
            self.holder.check(call.key)
        now = self._loop.time()
        if deadline <= now:
            raise _refusal(Reason.DEADLINE)
        if now >= self._state.stops_at:
            raise _refusal(Reason.DRAINING)
        if not self._state.bears_request():
            raise _refusal(Reason.OVERLOADED)
        return await self._send(call, deadline)

    async def _send(self, call: Call, deadline: float) -> Outcome:
        info, pool = self._state.info, self._pool
        assert info is not None
        assert pool is not None
        began = self._loop.time()
        data = self._protocol.encode(
            call, target_id=info.target_id, left_s=deadline - began
        )
        try:
            async with asyncio.timeout_at(deadline):
                response = await pool.exchange(
                    data,
                    accepts=lambda got: self._protocol.answers(call, got),
                    bodiless=call.method == "HEAD",
                    max_idle_s=None if call.idempotent else _UNSAFE_IDLE_S,
                )
        except ExchangeError as exc:
            return self._failed(call, exc, info.born)
        except TimeoutError:
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE, offered=True
            )
        self._state.heard()
        verdict = self._protocol.verdict(response)
        if verdict is Verdict.NOT_RUN:
            return Outcome(verdict, reason=Reason.TARGET_SHED, offered=True)
        if not self._protocol.is_trustworthy(response):
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.TRUNCATED, offered=True
            )
        if response.is_success:
            # Errors come too soon to tell how long work takes.
            self._state.worked(
                self._loop.time() - began, self._protocol.slowness(response)
            )
            if call.large:
                self._learn_size(len(response.body))
        self._crashes.answered(call)
        return Outcome(verdict, response=response, offered=True)

    def _learn_size(self, size: int) -> None:
        if not self._large_bytes:
            self._large_bytes = size
        self._large_bytes += _SIZE_LEARNING * (size - self._large_bytes)

    def _failed(self, call: Call, exc: ExchangeError, born: int) -> Outcome:
        if exc.refused:
            self._state.refused_connection(born)
        self._on_event(
            "exchange_failed",
            {"id": call.request_id, "detail": str(exc), "born": born},
        )
        if not exc.sent:
            return Outcome(Verdict.NOT_RUN, reason=Reason.TARGET_DOWN)
        self._crashes.lost(call, born)
        return Outcome(
            Verdict.MAY_HAVE_RUN, reason=Reason.CONNECTION_LOST, offered=True
        )

    def _refused(self, exc: Refusal) -> Outcome:
        return Outcome(
            exc.verdict, reason=exc.reason, retry_after_s=_RETRY_AFTER_S
        )

    def _unexpected(self, what: str) -> None:
        self._on_event("unexpected_bytes", {"detail": what})

    def _lease_s(self, call: Call) -> float | None:
        if self.holder is None or call.key is None:
            return None
        return round(self.holder.lease.hold_s(), 3)

    def _log(self, call: Call, outcome: Outcome, began: float) -> None:
        info = self._state.info
        self._on_outcome(outcome, self._loop.time() - began)
        self._on_event(
            "gate",
            {
                "id": call.request_id,
                "service": call.service,
                "key": call.key,
                "attempt": call.attempt,
                "verdict": outcome.verdict.value,
                "reason": outcome.reason.value if outcome.reason else None,
                "status": outcome.response.status
                if outcome.response
                else None,
                "ms": round((self._loop.time() - began) * 1000, 1),
                "waited_ms": round(outcome.waited_s * 1000, 1),
                "slowness": self._state.slowness,
                "in_flight": self._slots.in_flight,
                "waiting": self._slots.waiting,
                "slots": self._slots.size,
                "uplink_s": round(self._uplink.backlog_s, 3),
                "born": self._state.born,
                "sequence": info.sequence if info else None,
                "lease_s": self._lease_s(call),
            },
        )


async def _never_ran() -> Outcome:
    return Outcome(Verdict.NOT_RUN, reason=Reason.CONNECTION_LOST)


def _refusal(reason: Reason) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason)
