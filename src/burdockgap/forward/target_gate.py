"""Admission control for all requests to this daemon's target."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from burdockgap.forward.gate_log import GateLog
from burdockgap.forward.large_responses import LargeResponses
from burdockgap.forward.load import Load
from burdockgap.forward.not_run import not_run
from burdockgap.forward.running_requests import RunningRequests
from burdockgap.forward.single_runs import SingleRuns
from burdockgap.forward.target_exchange import TargetExchange
from burdockgap.forward.target_queue import TargetQueue
from burdockgap.scheduling.concurrency_limit import ConcurrencyLimit
from burdockgap.verdict import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.downlink import Downlink
    from burdockgap.forward.call import Call
    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.outcome import Outcome
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.shards.shard_holder import ShardHolder
    from burdockgap.uplink import Uplink

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
    :param downlink: the machine's inbound link.
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
        "_crashes",
        "_downlink",
        "_exchange",
        "_large_responses",
        "_log",
        "_loop",
        "_out_since",
        "_protocol",
        "_queue",
        "_single_runs",
        "_slots",
        "_state",
        "_target_born",
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
        downlink: Downlink,
        crashes: CrashWatch,
        buffers: MemoryBudget,
        on_event: Callable[[str, dict[str, object]], None],
        on_outcome: Callable[[Outcome, float], None],
        on_wait: Callable[[float, float], None] = lambda *_: None,
    ) -> None:
        self._crashes = crashes
        self._target_born = 0
        self._loop = asyncio.get_running_loop()
        self.service = service
        self._state = state
        self._protocol = protocol
        self._out_since = out_since
        self._queue = TargetQueue(state, on_wait)
        self._slots = self._queue.slots
        self._downlink = downlink
        self._large_responses = LargeResponses(uplink)
        self._exchange = TargetExchange(
            state=state,
            protocol=protocol,
            crashes=crashes,
            buffers=buffers,
            service_times=self._queue.service_times,
            large_responses=self._large_responses,
            on_event=on_event,
        )
        self._log = GateLog(
            state=state,
            slots=self._slots,
            uplink=uplink,
            on_event=on_event,
            on_outcome=on_outcome,
        )
        self._single_runs = SingleRuns()
        self.running = RunningRequests()
        self.concurrency = ConcurrencyLimit()
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
            uplink_s=self._large_responses.uplink_s,
            downlink_s=self._downlink.backlog_s,
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
        self._exchange.target_changed(info)
        self._slots.resize(self.concurrency.slots(info.slots))
        if not self._state.takes_work and self.holder is None:
            self._slots.refuse_waiting(Reason.DRAINING)

    def free_responses(self, missing_bytes: int) -> None:
        """Drop responses that are only kept for repeated calls."""
        self._single_runs.free_responses(missing_bytes)

    async def serve(self, call: Call) -> Outcome:
        """Send a call to the target if admitted; return its outcome."""
        began = self._loop.time()
        deadline = began + call.deadline_s
        if call.notice is not None:
            self._state.adopt_notice(call.notice)
        if call.idempotent:
            outcome = await self._attempt(call, deadline)
        else:
            outcome = await self._single_runs.run(
                call, lambda: self._attempt(call, deadline)
            )
        outcome.load = self.load
        outcome.notice = self._state.known_notice
        self._log.write(call, outcome, began, self._lease_s(call))
        return outcome

    async def settle(self, run_id: str, attempt: int) -> Outcome:
        """
        Return the outcome of a call whose connection was lost.

        If the call has not arrived yet, it is not run when it arrives.
        """
        return await self._single_runs.settle(run_id, attempt)

    async def _attempt(self, call: Call, deadline: float) -> Outcome:
        began = self._loop.time()
        try:
            self._crashes.check(call)
            if deadline > self.ends_at and not call.idempotent:
                raise not_run(Reason.DRAINING)
            self._check_open(call)
            if call.large and self._large_responses.uplink_s > call.patience_s:
                raise not_run(Reason.OVERLOADED)
            if self.holder is not None and call.key is not None:
                self.holder.samples.add(call.key)
                await self.holder.wait_until_held(
                    call.key, min(call.patience_s, call.deadline_s)
                )
            acquired_at = await self._queue.acquire_slot(call, began, deadline)
        except Refusal as exc:
            return self._queue.refusal_outcome(exc, call)
        waited_s = self._loop.time() - began
        self._large_responses.in_flight += call.large
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
            outcome = self._queue.refusal_outcome(exc, call)
        finally:
            self._large_responses.in_flight -= call.large
            concurrency.failed(self._loop.time(), running)
            info = self._state.info
            if info is not None:
                self._slots.resize(self.concurrency.slots(info.slots))
            self._slots.release(acquired_at)
        outcome.waited_s = waited_s
        return outcome

    def _check_open(self, call: Call) -> None:
        if call.service != self.service:
            raise not_run(Reason.UNKNOWN_SERVICE)
        if self.closed:
            raise not_run(Reason.DRAINING)
        if not self._state.up or self._state.info is None:
            raise not_run(Reason.TARGET_DOWN)
        if call.key is not None:
            self._check_open_for_keys()
            return
        if self._out_since() is not None:
            raise not_run(Reason.DATA_CENTRE_OUT)
        if not self._state.takes_work or self.leaving:
            raise not_run(Reason.DRAINING)

    def _check_open_for_keys(self) -> None:
        if self.holder is None:
            # No configuration is known yet, so no keys are granted.
            raise not_run(Reason.ACTIVATING)
        # Calls with keys are served until the keys have had time to
        # move.
        out_since, now = self._out_since(), self._loop.time()
        if out_since is not None and now - out_since > _KEY_MIGRATION_S:
            raise not_run(Reason.DATA_CENTRE_OUT)

    def _check_sendable(self, call: Call, deadline: float) -> None:
        """Refuse a call whose conditions changed during a wait."""
        self._crashes.check(call)
        self._check_open(call)
        if self.holder is not None and call.key is not None:
            self.holder.check(call.key)
        now = self._loop.time()
        if deadline <= now:
            raise not_run(Reason.DEADLINE)
        if now >= self._state.drain_deadline:
            raise not_run(Reason.DRAINING)

    async def _dispatch(self, call: Call, deadline: float) -> Outcome:
        self._check_sendable(call, deadline)
        self._exchange.check_memory(call)
        if not self._state.admit_request():
            raise not_run(Reason.OVERLOADED)
        return await self._exchange.send(
            call, deadline, lambda: self._check_sendable(call, deadline)
        )

    def _lease_s(self, call: Call) -> float | None:
        if self.holder is None or call.key is None:
            return None
        return round(self.holder.lease.hold_s(), 3)
