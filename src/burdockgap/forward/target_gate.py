"""Admission control for all requests to this daemon's target."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from burdockgap.forward.dedup_cache import DedupCache
from burdockgap.forward.load import Load
from burdockgap.forward.no_room import NoRoom
from burdockgap.forward.outcome import Outcome
from burdockgap.forward.running_requests import RunningRequests
from burdockgap.forward.slots import Slots
from burdockgap.hop.listener import CALLER_CONNECTION_LOST
from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response_limits import ResponseLimits
from burdockgap.resources.claim import Claim
from burdockgap.scheduling.concurrency_limit import ConcurrencyLimit
from burdockgap.scheduling.return_times import ReturnTimes
from burdockgap.scheduling.service_times import ServiceTimes
from burdockgap.scheduling.start_window import (
    latest_return_s,
    longest_wait_s,
)
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.call import Call
    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.shards.shard_holder import ShardHolder
    from burdockgap.uplink import Uplink

_CONNECT_TIMEOUT_S = 0.5
_IDLE_TIMEOUT_S = 8.0
"""Below the 10 s after which targets close idle connections."""
_NON_IDEMPOTENT_IDLE_S = 4.0
_MAX_BODY_BYTES = 64 * 1024 * 1024
_RETRY_AFTER_S = 0.1
_MIN_SERVICE_S = 0.001
"""Bounds the rate at which refused requests are asked to return."""
_LIMIT_REASONS = frozenset(
    {Reason.RATE_LIMITED, Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT}
)
"""Reasons after which the target's limit determines the time to return,
if it names one."""
_SIZE_WEIGHT = 0.1
"""Weight of one large response's size in the moving average; sizes vary
by half."""
_KEY_MIGRATION_S = 2.0
"""Time for keys to move out of a data centre that is out of service;
the users' limit is 5 s."""


class TargetGate:
    """
    Admits calls to the target and reports their outcomes.

    :param service: the target's service.
    :param state: the target's state.
    :param protocol: the protocol of the target.
    :param out_since: returns when operators took the data centre out
        of service, on the event loop's clock; ``None`` if they did not.
    :param uplink: the machine's outbound link.
    :param crashes: detects requests that crash targets.
    :param buffers: bounds requests and responses.
    :param on_event: logs a decision.
    :param on_outcome: counts an outcome and its duration in seconds.
    :param on_wait: counts the predicted and the actual time in the
        queue, in seconds.
    :ivar running: the requests that the target is running.
    :ivar holder: keys that the target holds; ``None`` until known.
    :ivar leaving: whether this daemon is about to stop; only calls with
        keys are served then, until the keys have moved.
    :ivar concurrency: learns how many slots the target can use.
    :ivar closed: whether all calls are refused.
    :ivar ends_at: when the process ends, on the event loop's clock;
        non-idempotent calls that may take longer are refused.
    """

    __slots__ = (
        "_buffers",
        "_crashes",
        "_mean_large_bytes",
        "_large_in_flight",
        "_target_born",
        "_loop",
        "_on_event",
        "_on_outcome",
        "_pool",
        "_protocol",
        "_dedup_cache",
        "_return_times",
        "_service_times",
        "_slots",
        "_state",
        "_out_since",
        "_uplink",
        "closed",
        "concurrency",
        "ends_at",
        "holder",
        "leaving",
        "running",
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
        buffers: MemoryBudget,
        on_event: Callable[[str, dict[str, object]], None],
        on_outcome: Callable[[Outcome, float], None],
        on_wait: Callable[[float, float], None] = lambda *_: None,
    ) -> None:
        self._uplink = uplink
        self._buffers = buffers
        self._mean_large_bytes = 0.0
        self._large_in_flight = 0
        self._crashes = crashes
        self._on_outcome = on_outcome
        self._target_born = 0
        self._loop = asyncio.get_running_loop()
        self.service = service
        self._state = state
        self._protocol = protocol
        self._out_since = out_since
        self._on_event = on_event
        self._service_times = ServiceTimes()
        self._return_times = ReturnTimes()
        self._slots = Slots(
            size=1,
            limit=state.limit,
            mean_s=lambda: self._service_times.mean_s,
            on_wait=on_wait,
        )
        self.running = RunningRequests()
        self.concurrency = ConcurrencyLimit()
        self._dedup_cache = DedupCache()
        self._pool: ClientPool | None = None
        self.holder: ShardHolder | None = None
        self.leaving = False
        self.closed = False
        self.ends_at = math.inf

    @property
    def load(self) -> Load:
        """The current load."""
        return Load(
            in_flight=self._slots.in_flight,
            waiting=self._slots.waiting,
            slots=self._slots.size,
            service_s=self._state.service_s,
            slowness=self._state.slowness * self.slowdown,
            uplink_s=self._uplink_s,
            rate_limit=self._state.limit.rate,
            rate_wait_s=self._state.limit.wait_s(
                self._loop.time(), self._slots.waiting
            ),
        )

    @property
    def slowdown(self) -> float:
        """How many times longer than usual requests take now."""
        return self.concurrency.slowdown(self._loop.time())

    @property
    def in_flight(self) -> int:
        """Number of requests that the target is running."""
        return self._slots.in_flight

    @property
    def _uplink_s(self) -> float:
        """Seconds until the link has sent queued and expected data."""
        expected_bytes = self._large_in_flight * self._mean_large_bytes
        return self._uplink.backlog_s + self._uplink.sending_s(
            int(expected_bytes)
        )

    def target_changed(self) -> None:
        """Apply a change of the target's state."""
        info = self._state.info
        if info is None:
            return
        if self._target_born and (
            self._state.ended or info.born != self._target_born
        ):
            self._crashes.target_ended(self._target_born)
        if info.born != self._target_born:
            self.concurrency = ConcurrencyLimit()
        self._target_born = info.born
        if self._pool is None or self._pool.address != info.address:
            self._pool = ClientPool(
                info.address,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                idle_s=_IDLE_TIMEOUT_S,
                on_unexpected=self._on_unexpected_bytes,
                limits=ResponseLimits(
                    body_bytes=_MAX_BODY_BYTES, budget=self._buffers
                ),
            )
        if not self._state.up:
            self._pool.close()
        self._slots.resize(self.concurrency.slots(info.slots))
        if not self._state.takes_work and self.holder is None:
            self._slots.refuse_waiting(Reason.DRAINING)

    def free_responses(self, missing_bytes: int) -> None:
        """Drop responses that are only kept for repeated calls."""
        self._dedup_cache.free_responses(missing_bytes)

    async def serve(self, call: Call) -> Outcome:
        """Send a call to the target if admitted; return its outcome."""
        began = self._loop.time()
        deadline = began + call.deadline_s
        if call.notice is not None:
            self._state.adopt_notice(call.notice)
        if call.idempotent:
            outcome = await self._attempt(call, deadline)
        else:
            outcome = await self._attempt_once(call, deadline)
        outcome.load = self.load
        outcome.notice = self._state.known_notice
        self._log(call, outcome, began)
        return outcome

    async def settle(self, run_id: str, attempt: int) -> Outcome:
        """
        Return the outcome of a call whose connection was lost.

        If the call has not arrived yet, it is not run when it arrives.
        """
        run = self._dedup_cache.find(run_id)
        self._dedup_cache.settle(run_id, attempt)
        if run is None:
            return _lost_before_run()
        return await asyncio.shield(run)

    async def _attempt_once(self, call: Call, deadline: float) -> Outcome:
        if self._dedup_cache.is_settled(call.run_id, call.attempt):
            return _lost_before_run()
        run = self._dedup_cache.run(
            call.run_id, lambda: self._attempt(call, deadline)
        )
        try:
            outcome = await asyncio.shield(run)
        except asyncio.CancelledError as exc:
            # After a lost connection the run continues, as the peer
            # will ask for its outcome.
            if exc.args != (CALLER_CONNECTION_LOST,):
                run.cancel()
            raise
        if outcome.verdict is Verdict.NOT_RUN and not outcome.sent:
            # What the target has rejected is not sent to it again: a
            # second copy of the rejection, which may come on any
            # connection, could not be told from the next response.
            self._dedup_cache.forget(call.run_id)
        return outcome

    async def _attempt(self, call: Call, deadline: float) -> Outcome:
        began = self._loop.time()
        try:
            self._crashes.check(call)
            if deadline > self.ends_at and not call.idempotent:
                raise _refusal(Reason.DRAINING)
            self._check_open(call)
            if call.large and self._uplink_s > call.patience_s:
                raise _refusal(Reason.OVERLOADED)
            if self.holder is not None and call.key is not None:
                self.holder.samples.add(call.key)
                await self.holder.wait_until_held(
                    call.key, min(call.patience_s, call.deadline_s)
                )
            acquired_at = await self._acquire_slot(call, began, deadline)
        except Refusal as exc:
            return self._refusal_outcome(exc, call)
        waited_s = self._loop.time() - began
        self._large_in_flight += call.large
        concurrency = self.concurrency
        # Large responses take the time of the link, not of the target.
        running = concurrency.began(
            self._loop.time(), "large" if call.large else call.route
        )
        try:
            with self.running.run(call.request_id):
                outcome = await self._dispatch(call, deadline)
            if outcome.response is not None and outcome.response.is_success:
                concurrency.succeeded(
                    self._loop.time(),
                    running,
                    self._protocol.slowness(outcome.response),
                )
        except Refusal as exc:
            outcome = self._refusal_outcome(exc, call)
        finally:
            self._large_in_flight -= call.large
            concurrency.failed(self._loop.time(), running)
            info = self._state.info
            if info is not None:
                self._slots.resize(self.concurrency.slots(info.slots))
            self._slots.release(acquired_at)
        outcome.waited_s = waited_s
        return outcome

    async def _acquire_slot(
        self, call: Call, began: float, deadline: float
    ) -> float:
        times, now = self._service_times, self._loop.time()
        times.initial_s = self._state.service_s
        mean_s = times.estimate_s(call.route)
        objective_s = call.objective_s - (now - began)
        return await self._slots.acquire(
            priority=call.priority,
            wait_s=longest_wait_s(
                nested=call.nested,
                deadline_s=deadline - now,
                objective_s=objective_s,
                mean_s=mean_s,
                tail_s=times.tail_s(call.route),
            ),
            nested=call.nested,
            in_time=objective_s > mean_s,
            service_s=mean_s,
        )

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
        # Calls with keys are served until the keys have had time to
        # move.
        out_since, now = self._out_since(), self._loop.time()
        if out_since is not None and now - out_since > _KEY_MIGRATION_S:
            raise _refusal(Reason.DATA_CENTRE_OUT)

    def _check_sendable(self, call: Call, deadline: float) -> None:
        """Refuse a call whose conditions changed during a wait."""
        self._check_open(call)
        if self.holder is not None and call.key is not None:
            self.holder.check(call.key)
        now = self._loop.time()
        if deadline <= now:
            raise _refusal(Reason.DEADLINE)
        if now >= self._state.drain_deadline:
            raise _refusal(Reason.DRAINING)

    async def _dispatch(self, call: Call, deadline: float) -> Outcome:
        self._check_sendable(call, deadline)
        # Once it has run, a response that does not fit is lost.
        expected_bytes = int(self._mean_large_bytes) if call.large else 0
        claim = Claim.LARGE if expected_bytes else Claim.SMALL
        if not self._buffers.fits(expected_bytes, claim):
            raise _refusal(Reason.OVERLOADED)
        if not self._state.admit_request():
            raise _refusal(Reason.OVERLOADED)
        return await self._send(call, deadline)

    async def _send(self, call: Call, deadline: float) -> Outcome:
        info, pool = self._state.info, self._pool
        assert info is not None
        assert pool is not None
        began = self._loop.time()
        head = self._protocol.encode_head(
            call, target_id=info.target_id, left_s=deadline - began
        )
        try:
            async with asyncio.timeout_at(deadline):
                response = await pool.exchange(
                    head,
                    body=call.body,
                    accepts=lambda got: self._protocol.matches(call, got),
                    bodiless=call.method == "HEAD",
                    max_idle_s=None
                    if call.idempotent
                    else _NON_IDEMPOTENT_IDLE_S,
                    request_id=call.request_id,
                    before_send=lambda: self._check_sendable(call, deadline),
                )
        except ExchangeError as exc:
            return self._failure_outcome(call, exc, info.born)
        except TimeoutError:
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE, sent=True
            )
        self._state.note_response()
        notice = self._protocol.notice(call, response)
        if notice is not None:
            self._state.note_notice(notice, info.born)
        verdict = self._protocol.verdict(response)
        if verdict is Verdict.NOT_RUN:
            return Outcome(verdict, reason=Reason.TARGET_SHED, sent=True)
        if not self._protocol.is_complete(response):
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.TRUNCATED, sent=True
            )
        if response.is_success:
            # Errors return too fast to represent the service time.
            took_s = self._loop.time() - began
            self._service_times.note(call.route, took_s)
            self._state.note_success(took_s, self._protocol.slowness(response))
            if call.large:
                self._update_mean_size(len(response.body))
        self._crashes.answered(call)
        return Outcome(verdict, response=response, sent=True)

    def _update_mean_size(self, size: int) -> None:
        if not self._mean_large_bytes:
            self._mean_large_bytes = size
        self._mean_large_bytes += _SIZE_WEIGHT * (
            size - self._mean_large_bytes
        )

    def _failure_outcome(
        self, call: Call, exc: ExchangeError, born: int
    ) -> Outcome:
        if exc.refused:
            self._state.refused_connection(born)
        self._on_event(
            "exchange_failed",
            {"id": call.request_id, "detail": str(exc), "born": born},
        )
        if not exc.sent:
            return Outcome(Verdict.NOT_RUN, reason=Reason.TARGET_DOWN)
        self._crashes.connection_lost(call, born)
        return Outcome(
            Verdict.MAY_HAVE_RUN, reason=Reason.CONNECTION_LOST, sent=True
        )

    def _refusal_outcome(self, exc: Refusal, call: Call) -> Outcome:
        retry_after_s = _RETRY_AFTER_S
        if isinstance(exc, NoRoom):
            retry_after_s = max(
                retry_after_s, self._return_after_s(exc.room_in_s, call)
            )
        if exc.reason in _LIMIT_REASONS:
            retry_after_s = max(
                retry_after_s,
                self._state.limit.return_after_s(
                    self._loop.time(), self._slots.waiting
                ),
            )
        return Outcome(
            exc.verdict, reason=exc.reason, retry_after_s=retry_after_s
        )

    def _return_after_s(self, room_in_s: float, call: Call) -> float:
        """Return when a request that found no room should return."""
        mean_s = max(self._service_times.mean_s, _MIN_SERVICE_S)
        times = self._return_times
        # A request that several targets refuse returns to one of them,
        # so it takes a place at the first.
        tell = times.book if call.attempt == 1 else times.quote
        return min(
            tell(self._loop.time(), room_in_s, self._slots.size / mean_s),
            latest_return_s(
                objective_s=call.objective_s,
                tail_s=self._service_times.tail_s(call.route),
            ),
        )

    def _on_unexpected_bytes(self, what: str) -> None:
        self._on_event("unexpected_bytes", {"detail": what})

    def _lease_s(self, call: Call) -> float | None:
        if self.holder is None or call.key is None:
            return None
        return round(self.holder.lease.hold_s(), 3)

    def _log(self, call: Call, outcome: Outcome, began: float) -> None:
        info = self._state.info
        outcome.nested = call.nested
        self._on_outcome(outcome, self._loop.time() - began)
        self._on_event(
            "gate",
            {
                "id": call.request_id,
                "service": call.service,
                "key": call.key,
                "attempt": call.attempt,
                "nested": call.nested,
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


def _lost_before_run() -> Outcome:
    return Outcome(Verdict.NOT_RUN, reason=Reason.CONNECTION_LOST)


def _refusal(reason: Reason) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason)
