"""The requests that a gate has in flight."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.gate import metrics
from burdockgap.gate.active_request import ActiveRequest
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskGroup

    from burdockgap.clock import Clock
    from burdockgap.gate.gate_request import GateRequest
    from burdockgap.gate.limiter import Limiter
    from burdockgap.gate.logged_request import LoggedRequest
    from burdockgap.gate.permit import Permit
    from burdockgap.gate.quarantine import Quarantine
    from burdockgap.gate.target_state import TargetState
    from burdockgap.target import Target

_STATUS_INTERVAL_S = 0.25
_LEASE_WATCH_INTERVAL_S = 0.04
_REAP_INTERVAL_S = 0.1
_REAP_TIMEOUT_S = 30.0


class ActiveRequests:
    """
    Holds each request's slot until the target has ended the request.

    :param state: the gate's view of the target.
    :param limiter: owns the slots.
    :param quarantine: is notified of crashes.
    :param clock: the time source.
    :param tasks: runs the tasks that reap abandoned requests.
    """

    __slots__ = (
        "_clock",
        "_requests",
        "_not_empty",
        "_limiter",
        "_quarantine",
        "_state",
        "_tasks",
    )

    def __init__(
        self,
        *,
        state: TargetState,
        limiter: Limiter,
        quarantine: Quarantine,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        self._state = state
        self._limiter = limiter
        self._quarantine = quarantine
        self._clock = clock
        self._tasks = tasks
        self._requests: set[ActiveRequest] = set()
        self._not_empty = anyio.Event()

    @contextmanager
    def track(
        self, req: GateRequest, entry: LoggedRequest | None
    ) -> Iterator[ActiveRequest]:
        """
        Hold the slot of one request while the context lasts.

        If the target may still be running the request at the end, the
        slot is released by a background task instead.

        :raises Refusal: with ``not-run`` if the target is down or
            shutting down; the slot is released.
        """
        try:
            target = self._state.check()
        except Refusal:
            self._limiter.release()
            raise
        active = ActiveRequest(
            req=req,
            entry=entry,
            target=target,
            boot_id=self._state.boot_id,
        )
        active.resources.callback(self._limiter.release)
        self._requests.add(active)
        self._not_empty.set()
        try:
            yield active
        finally:
            if active.is_running:
                metrics.abandoned.inc()
                self._tasks.start_soon(self._reap, active)
            else:
                self._close(active)

    def check_absent(self, request_id: str) -> None:
        """
        Refuse a request id that is in flight.

        :raises Refusal: with ``not-run``.
        """
        # The target cancels by id, so an id must identify one request.
        for active in self._requests:
            if active.req.request_id == request_id:
                detail = "The same request id is in flight; wait for it."
                raise Refusal(Verdict.NOT_RUN, Reason.DUPLICATE, detail)

    def cancel(self, permits: list[Permit]) -> None:
        """Cancel the requests under the given permits."""
        for active in self._requests:
            if any(active.permit is permit for permit in permits):
                active.cancel_scope.cancel()

    def process_replaced(self, boot_id: str) -> None:
        """Record that a process and all of its requests have ended."""
        self._state.ended(boot_id)
        self._limiter.set_limit(self._state.limit)
        self._end_requests(boot_id, list(self._requests))

    async def watch_leases(self) -> None:
        """Extend deadlines at lease renewals; run until cancelled."""
        while True:
            await self._not_empty.wait()
            now = self._clock.now()
            for active in self._requests:
                active.extend_deadline(now)
            await anyio.sleep(_LEASE_WATCH_INTERVAL_S)
            if not self._requests:
                self._not_empty = anyio.Event()

    async def watch_target(self) -> None:
        """Poll the target's status; run until cancelled."""
        while True:
            target = self._state.target
            if target is not None:
                await self._check_health(target, self._state.boot_id)
            await anyio.sleep(_STATUS_INTERVAL_S)

    async def _reap(self, active: ActiveRequest) -> None:
        """
        Hold an abandoned request's slot until the target has ended it.

        The slot is released after ``_REAP_TIMEOUT_S`` in any case.
        """
        give_up_at = self._clock.now() + _REAP_TIMEOUT_S
        try:
            while not active.ended and self._clock.now() < give_up_at:
                if await self._has_ended(active):
                    break
                await anyio.sleep(_REAP_INTERVAL_S)
        finally:
            self._close(active)

    async def _has_ended(self, active: ActiveRequest) -> bool:
        if active.failed:
            await self._check_health(active.target, active.boot_id)
        if active.ended:
            return True
        try:
            return await active.target.cancel(active.req.request_id)
        except ConnectionRefusedError:
            self._connection_refused(active.boot_id)
            return True

    def _close(self, active: ActiveRequest) -> None:
        active.ended = True
        self._requests.discard(active)
        active.resources.close()

    def _connection_refused(self, boot_id: str) -> None:
        """
        Handle a refused connection to the target.

        A target that is shutting down may still be running requests
        whose connections are open; those whose connections were lost
        have ended.
        """
        self._state.ended(boot_id)
        self._limiter.set_limit(self._state.limit)
        self._end_requests(
            boot_id, [active for active in self._requests if active.failed]
        )

    def _end_requests(
        self, boot_id: str, requests: list[ActiveRequest]
    ) -> None:
        running = [
            active
            for active in requests
            if active.boot_id == boot_id and active.is_running
        ]
        fingerprints = [active.req.fingerprint for active in running]
        self._quarantine.crashed(boot_id, fingerprints)
        for active in running:
            active.ended = True

    async def _check_health(self, target: Target, boot_id: str) -> None:
        try:
            status = await target.status()
        except ConnectionRefusedError:
            self._connection_refused(boot_id)
            return
        except ConnectionError:
            return
        if status.boot_id != boot_id:
            self.process_replaced(boot_id)
        elif boot_id == self._state.boot_id:
            self._state.reported(status)
