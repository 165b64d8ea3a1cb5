"""The only way in to the daemon's own target."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.gate import metrics
from burdockgap.gate.flights import Flights
from burdockgap.gate.gate_stats import GateStats
from burdockgap.gate.limiter import Limiter
from burdockgap.gate.quarantine import Quarantine
from burdockgap.gate.request_log import RequestLog
from burdockgap.gate.target_state import TargetState
from burdockgap.target import TargetReply, TargetRequest
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

    from burdockgap.clock import Clock
    from burdockgap.gate.flight import Flight
    from burdockgap.gate.gate_policy import GatePolicy
    from burdockgap.gate.gate_request import GateRequest
    from burdockgap.gate.logged_request import LoggedRequest
    from burdockgap.gate.permit import Permit
    from burdockgap.gate.permits import Permits
    from burdockgap.target import Target, TargetInfo

STALL_S = 1.0
_REFUSING_DETAIL = "This daemon takes no new work; retry elsewhere."


class Gate:
    """
    Admits requests to the target, one slot each.

    Use :func:`burdockgap.gate.open_gate.open_gate`. No target is known
    until :meth:`announced`.

    :param service: the target's service.
    :param permits: decides on each dispatch.
    :param policy: the service's profile.
    :param clock: the time source.
    :param tasks: runs the gate's own tasks.
    :param stall_s: seconds without a sign of life of the target after
        which it counts as stalled.
    """

    __slots__ = (
        "_clock",
        "_flights",
        "_limiter",
        "_log",
        "_permits",
        "_policy",
        "_refusing",
        "_state",
        "_tasks",
        "quarantine",
    )

    def __init__(
        self,
        *,
        service: str,
        permits: Permits,
        policy: GatePolicy,
        clock: Clock,
        tasks: TaskGroup,
        stall_s: float = STALL_S,
    ) -> None:
        self._clock = clock
        self._permits = permits
        self._policy = policy
        self._tasks = tasks
        self._refusing: Reason | None = None
        self._log = RequestLog(clock=clock)
        self._state = TargetState(policy=policy, clock=clock, stall_s=stall_s)
        self._limiter = Limiter(
            clock=clock,
            limit=self._state.limit,
            queue_length=policy.queue_length,
        )
        self.quarantine = Quarantine(service=service, clock=clock)
        self._flights = Flights(
            state=self._state,
            limiter=self._limiter,
            quarantine=self.quarantine,
            clock=clock,
            tasks=tasks,
        )

    @property
    def stats(self) -> GateStats:
        """The load now."""
        return GateStats(
            in_flight=self._limiter.in_flight,
            limit=self._limiter.limit,
            queue_length=self._limiter.waiting,
            service_ewma_s=self._state.times.ewma_s,
            completions=self._state.times.completions,
        )

    @property
    def progressing(self) -> bool:
        """Whether the daemon may go on renewing its lease."""
        return not self._state.progress.stalled(self._limiter.in_flight)

    @property
    def info(self) -> TargetInfo | None:
        """The newest announcement."""
        return self._state.info

    @property
    def target(self) -> Target | None:
        """The endpoints in use."""
        return self._state.target

    def announced(self, info: TargetInfo, target: Target) -> bool:
        """
        Take a target's announcement, new or repeated.

        Another boot id than before means that the target restarted:
        the work of the earlier process has ended and the ramp begins
        again.

        :param info: the announcement.
        :param target: endpoints of the announced process.
        :return: whether ``target`` is used from now on; a repeated
            announcement leaves the endpoints as they are.
        """
        before = self._state.boot_id
        if before not in ("", info.boot_id):
            self._flights.process_replaced(before)
        is_used = self._state.announced(info, target)
        self._limiter.set_limit(self._state.limit)
        return is_used

    def set_policy(self, policy: GatePolicy) -> None:
        """Follow another profile from now on."""
        self._policy = policy
        self._state.configure(policy)
        self._limiter.queue_length = policy.queue_length
        self._limiter.set_limit(self._state.limit)

    def refuse_new(self, reason: Reason | None) -> None:
        """
        Refuse all new work, that in the queue included.

        :param reason: given to the callers; ``None`` takes work again.
        """
        if reason is not self._refusing:
            logger.info("gate refuses new work: {}", reason)
        self._refusing = reason
        if reason is not None:
            self._limiter.refuse_waiting(reason, _REFUSING_DETAIL)

    def cancel_permits(self, permits: list[Permit]) -> None:
        """Cancel the work in flight under some permits."""
        self._flights.cancel(permits)

    async def drained(self, timeout_s: float) -> bool:
        """
        Wait until no work is in flight.

        :return: ``False`` if work was left after ``timeout_s``.
        """
        with anyio.move_on_after(timeout_s):
            await self._limiter.wait_idle()
        return self._limiter.in_flight == 0

    @asynccontextmanager
    async def serve(self, req: GateRequest) -> AsyncIterator[TargetReply]:
        """
        Give a request to the target and its answer to the caller.

        Leaving the context before the end of the body cancels the work.

        :raises Refusal: with ``not-run`` before the target gets the
            request. The reply's body raises it too.
        """
        try:
            async with self._serve(req) as reply:
                yield reply
        except Refusal as exc:
            metrics.refusals.labels(exc.verdict.value, exc.reason.value).inc()
            raise

    def start(self) -> None:
        """Start to watch the target and the leases."""
        self._tasks.start_soon(self._flights.watch_target)
        self._tasks.start_soon(self._flights.watch_leases)

    @asynccontextmanager
    async def _serve(self, req: GateRequest) -> AsyncIterator[TargetReply]:
        self._check_service(req.service)
        if req.idempotent:
            self._check_open()
            self._flights.check_absent(req.request_id)
            async with self._dispatch(req, None) as reply:
                yield reply
            return
        earlier = await self._log.find(
            req.request_id, req.fingerprint, req.deadline
        )
        if earlier is not None:
            yield earlier.replay()
            metrics.replays.inc()
            return
        # Not before: a gate that takes no new work must not call a
        # request unrun that it has run.
        self._check_open()
        with self._log.recording(req.request_id, req.fingerprint) as entry:
            async with self._dispatch(req, entry) as reply:
                yield entry.capture(reply)

    @asynccontextmanager
    async def _dispatch(
        self, req: GateRequest, entry: LoggedRequest | None
    ) -> AsyncIterator[TargetReply]:
        self.quarantine.check(req.fingerprint)
        self._permits.check(req.key_hash)
        self._state.check()
        asked_at = self._clock.now()
        await self._limiter.acquire(
            deadline=req.deadline, wait_s=self._policy.queue_wait_s
        )
        metrics.queue_wait.observe(self._clock.now() - asked_at)
        with self._flights.open(req, entry) as flight:
            permit = self._enter(flight)
            async with self._exchange(flight, permit) as reply:
                yield reply

    def _enter(self, flight: Flight) -> Permit:
        # The wait for the slot may have changed any of the answers.
        self._check_open()
        self.quarantine.check(flight.req.fingerprint)
        if flight.req.deadline <= self._clock.now():
            detail = "The deadline passed in the queue; allow more time."
            raise Refusal(Verdict.NOT_RUN, Reason.DEADLINE, detail)
        permit = flight.held.enter_context(
            self._permits.enter(flight.req.key_hash)
        )
        flight.permit = permit
        return permit

    @asynccontextmanager
    async def _exchange(
        self, flight: Flight, permit: Permit
    ) -> AsyncIterator[TargetReply]:
        now = self._clock.now()
        request = self._target_request(flight, permit, now)
        flight.dispatched(now)
        flight.extend(now)
        self._state.progress.dispatched(self._limiter.in_flight)
        metrics.dispatches.inc()
        with flight.scope:
            try:
                async with flight.target.send(request) as reply:
                    self._answered(flight)
                    yield self._watched(flight, reply)
            except Refusal as exc:
                self._failed(flight, exc)
                raise
        if flight.scope.cancelled_caught:
            detail = "The lease ended while the request was running."
            raise Refusal(Verdict.MAY_HAVE_RUN, Reason.NO_LEASE, detail)

    def _target_request(
        self, flight: Flight, permit: Permit, now: float
    ) -> TargetRequest:
        req = flight.req
        deadline = req.deadline
        if permit.unit is not None and not self._state.checks_grants:
            # This target cannot notice that the lease has ended.
            deadline = min(deadline, permit.expires_at)
        return TargetRequest(
            request_id=req.request_id,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            unit=permit.unit,
            epoch=permit.epoch,
            timeout_s=deadline - now,
            whole=req.whole,
        )

    def _watched(self, flight: Flight, reply: TargetReply) -> TargetReply:
        return TargetReply(
            status=reply.status,
            headers=reply.headers,
            body=self._watched_body(flight, reply.body),
        )

    async def _watched_body(
        self, flight: Flight, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        try:
            async for part in body:
                self._state.progress.worked()
                yield part
        except Refusal as exc:
            self._failed(flight, exc)
            raise
        flight.ended = True
        self.quarantine.answered(flight.req.fingerprint)
        self._state.completed(flight.boot_id, flight.service_s)
        self._limiter.set_limit(self._state.limit)

    def _answered(self, flight: Flight) -> None:
        flight.answered = True
        flight.service_s = self._clock.now() - flight.dispatched_at
        self._state.answered(flight.service_s)
        self._limiter.least_service_s = self._state.times.least_s
        self._limiter.service_s = self._state.times.ewma_s

    def _failed(self, flight: Flight, refusal: Refusal) -> None:
        if flight.failed:
            return
        if refusal.verdict is Verdict.NOT_RUN:
            if flight.answered:
                # Raised by the caller's own code, it proves nothing.
                return
            flight.refused()
        flight.failed = True
        self._state.failed(flight.boot_id, refusal)
        self._limiter.set_limit(self._state.limit)

    def _check_open(self) -> None:
        if self._refusing is not None:
            raise Refusal(Verdict.NOT_RUN, self._refusing, _REFUSING_DETAIL)

    def _check_service(self, service: str) -> None:
        # The caller may know another daemon at this address.
        if service != self.quarantine.service:
            detail = "This daemon serves another service; look it up."
            raise Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_SERVICE, detail)
