"""Admission control for every request to the daemon's own target."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.gate import metrics
from burdockgap.gate.active_requests import ActiveRequests
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
    from burdockgap.gate.active_request import ActiveRequest
    from burdockgap.gate.gate_policy import GatePolicy
    from burdockgap.gate.gate_request import GateRequest
    from burdockgap.gate.logged_request import LoggedRequest
    from burdockgap.gate.permit import Permit
    from burdockgap.gate.permits import Permits
    from burdockgap.target import Target, TargetInfo

STALL_S = 1.0
_NOT_ACCEPTING_DETAIL = "This daemon takes no new work; retry elsewhere."


class Gate:
    """
    Admits requests to the target, each of which occupies one slot.

    Create it with :func:`burdockgap.gate.open_gate.open_gate`. Requests
    are refused until :meth:`announced` supplies a target.

    :param service: the target's service.
    :param permits: allows or refuses each dispatch.
    :param policy: the settings from the service's profile.
    :param clock: the time source.
    :param tasks: runs the gate's background tasks.
    :param stall_s: seconds without a response, a healthy status or an
        accepted connection after which the target counts as stalled.
    """

    __slots__ = (
        "_clock",
        "_active",
        "_limiter",
        "_log",
        "_permits",
        "_policy",
        "_refusal_reason",
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
        self._refusal_reason: Reason | None = None
        self._log = RequestLog(clock=clock)
        self._state = TargetState(policy=policy, clock=clock, stall_s=stall_s)
        self._limiter = Limiter(
            clock=clock,
            limit=self._state.limit,
            queue_length=policy.queue_length,
        )
        self.quarantine = Quarantine(service=service, clock=clock)
        self._active = ActiveRequests(
            state=self._state,
            limiter=self._limiter,
            quarantine=self.quarantine,
            clock=clock,
            tasks=tasks,
        )

    @property
    def stats(self) -> GateStats:
        """The current load."""
        return GateStats(
            in_flight=self._limiter.in_flight,
            limit=self._limiter.limit,
            queue_length=self._limiter.waiting,
            service_ewma_s=self._state.times.ewma_s,
            completions=self._state.times.completions,
        )

    @property
    def progressing(self) -> bool:
        """
        Whether the target makes progress.

        The daemon renews its lease only while it does.
        """
        return not self._state.progress.stalled(self._limiter.in_flight)

    @property
    def info(self) -> TargetInfo | None:
        """The latest announcement, ``None`` before the first one."""
        return self._state.info

    @property
    def target(self) -> Target | None:
        """The endpoints in use, ``None`` before an announcement."""
        return self._state.target

    def announced(self, info: TargetInfo, target: Target) -> bool:
        """
        Process a target's announcement, which may be a repeated one.

        A changed boot id means that the target restarted: the requests
        of the previous process have ended and the ramp starts over.

        :param info: the announcement.
        :param target: endpoints of the announced process.
        :return: whether ``target`` replaces the endpoints in use;
            ``False`` for a repeated announcement.
        """
        before = self._state.boot_id
        if before not in ("", info.boot_id):
            self._active.process_replaced(before)
        is_used = self._state.announced(info, target)
        self._limiter.set_limit(self._state.limit)
        return is_used

    def set_policy(self, policy: GatePolicy) -> None:
        """Apply the settings of another profile from now on."""
        self._policy = policy
        self._state.configure(policy)
        self._limiter.queue_length = policy.queue_length
        self._limiter.set_limit(self._state.limit)

    def refuse_new(self, reason: Reason | None) -> None:
        """
        Refuse all new requests and those that wait in the queue.

        :param reason: reported to the callers; ``None`` accepts
            requests again.
        """
        if reason is not self._refusal_reason:
            logger.info("reason for refusing new requests is now: {}", reason)
        self._refusal_reason = reason
        if reason is not None:
            self._limiter.refuse_waiting(reason, _NOT_ACCEPTING_DETAIL)

    def cancel_permits(self, permits: list[Permit]) -> None:
        """Cancel the requests in flight under the given permits."""
        self._active.cancel(permits)

    async def drained(self, timeout_s: float) -> bool:
        """
        Wait until no request is in flight.

        :return: ``False`` if requests remain after ``timeout_s``.
        """
        with anyio.move_on_after(timeout_s):
            await self._limiter.wait_idle()
        return self._limiter.in_flight == 0

    @asynccontextmanager
    async def serve(self, req: GateRequest) -> AsyncIterator[TargetReply]:
        """
        Forward a request to the target and yield its reply.

        Leaving the context before the end of the body cancels the
        request.

        :raises Refusal: with ``not-run`` if no attempt of the request
            was dispatched. Reading the reply's body raises it too.
        """
        try:
            async with self._serve(req) as reply:
                yield reply
        except Refusal as exc:
            metrics.refusals.labels(exc.verdict.value, exc.reason.value).inc()
            raise

    def start(self) -> None:
        """Start the tasks that monitor the target and the leases."""
        self._tasks.start_soon(self._active.watch_target)
        self._tasks.start_soon(self._active.watch_leases)

    @asynccontextmanager
    async def _serve(self, req: GateRequest) -> AsyncIterator[TargetReply]:
        self._check_service(req.service)
        if req.idempotent:
            self._check_accepting()
            self._active.check_absent(req.request_id)
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
        # Checked after the log lookup: a draining gate must not report
        # not-run for a request that it has already run.
        self._check_accepting()
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
        queued_at = self._clock.now()
        await self._limiter.acquire(
            deadline=req.deadline, wait_s=self._policy.queue_wait_s
        )
        metrics.queue_wait.observe(self._clock.now() - queued_at)
        with self._active.track(req, entry) as active:
            permit = self._acquire_permit(active)
            async with self._exchange(active, permit) as reply:
                yield reply

    def _acquire_permit(self, active: ActiveRequest) -> Permit:
        # Each condition may have changed during the wait for the slot.
        self._check_accepting()
        self.quarantine.check(active.req.fingerprint)
        if active.req.deadline <= self._clock.now():
            detail = "The deadline passed in the queue; allow more time."
            raise Refusal(Verdict.NOT_RUN, Reason.DEADLINE, detail)
        permit = active.resources.enter_context(
            self._permits.enter(active.req.key_hash)
        )
        active.permit = permit
        return permit

    @asynccontextmanager
    async def _exchange(
        self, active: ActiveRequest, permit: Permit
    ) -> AsyncIterator[TargetReply]:
        now = self._clock.now()
        request = self._target_request(active, permit, now)
        active.mark_dispatched(now)
        active.extend_deadline(now)
        self._state.progress.dispatched(self._limiter.in_flight)
        metrics.dispatches.inc()
        with active.cancel_scope:
            try:
                async with active.target.send(request) as reply:
                    self._record_response(active)
                    yield self._track_reply(active, reply)
            except Refusal as exc:
                self._record_failure(active, exc)
                raise
        if active.cancel_scope.cancelled_caught:
            detail = "The lease ended while the request was running."
            raise Refusal(Verdict.MAY_HAVE_RUN, Reason.NO_LEASE, detail)

    def _target_request(
        self, active: ActiveRequest, permit: Permit, now: float
    ) -> TargetRequest:
        req = active.req
        deadline = req.deadline
        if permit.unit is not None and not self._state.checks_grants:
            # The target does not check whether the lease has expired.
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

    def _track_reply(
        self, active: ActiveRequest, reply: TargetReply
    ) -> TargetReply:
        return TargetReply(
            status=reply.status,
            headers=reply.headers,
            body=self._track_body(active, reply.body),
        )

    async def _track_body(
        self, active: ActiveRequest, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        try:
            async for part in body:
                self._state.progress.worked()
                yield part
        except Refusal as exc:
            self._record_failure(active, exc)
            raise
        active.ended = True
        self.quarantine.answered(active.req.fingerprint)
        self._state.completed(active.boot_id, active.service_s)
        self._limiter.set_limit(self._state.limit)

    def _record_response(self, active: ActiveRequest) -> None:
        active.answered = True
        active.service_s = self._clock.now() - active.dispatched_at
        self._state.answered(active.service_s)
        self._limiter.min_service_s = self._state.times.min_s
        self._limiter.service_s = self._state.times.ewma_s

    def _record_failure(self, active: ActiveRequest, refusal: Refusal) -> None:
        if active.failed:
            return
        if refusal.verdict is Verdict.NOT_RUN:
            if active.answered:
                # Raised by the caller's own code: no evidence that the
                # target did not run the request.
                return
            active.mark_not_run()
        active.failed = True
        self._state.failed(active.boot_id, refusal)
        self._limiter.set_limit(self._state.limit)

    def _check_accepting(self) -> None:
        if self._refusal_reason is not None:
            raise Refusal(
                Verdict.NOT_RUN, self._refusal_reason, _NOT_ACCEPTING_DETAIL
            )

    def _check_service(self, service: str) -> None:
        # The caller may have a stale address of another daemon.
        if service != self.quarantine.service:
            detail = "This daemon serves another service; look it up."
            raise Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_SERVICE, detail)
