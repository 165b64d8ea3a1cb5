"""The requests that a gate has in flight."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.gate import metrics
from burdockgap.gate.flight import Flight
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
_REAP_LIMIT_S = 30.0


class Flights:
    """
    Keeps each request's slot until the target has ended its work.

    :param state: what is known about the target.
    :param limiter: owns the slots.
    :param quarantine: hears of crashes.
    :param clock: the time source.
    :param tasks: runs the waiting for abandoned work.
    """

    __slots__ = (
        "_clock",
        "_flights",
        "_flying",
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
        self._flights: set[Flight] = set()
        self._flying = anyio.Event()

    @contextmanager
    def open(
        self, req: GateRequest, entry: LoggedRequest | None
    ) -> Iterator[Flight]:
        """Own the slot; abandoned work leaves it to the reaper."""
        try:
            target = self._state.check()
        except Refusal:
            self._limiter.release()
            raise
        flight = Flight(
            req=req,
            entry=entry,
            target=target,
            boot_id=self._state.boot_id,
        )
        flight.held.callback(self._limiter.release)
        self._flights.add(flight)
        self._flying.set()
        try:
            yield flight
        finally:
            if flight.is_running:
                metrics.abandoned.inc()
                self._tasks.start_soon(self._reap, flight)
            else:
                self._close(flight)

    def check_absent(self, request_id: str) -> None:
        """
        Refuse a request id that is in flight.

        :raises Refusal: with ``not-run``.
        """
        # The target cancels by this id, which must mean one request.
        for flight in self._flights:
            if flight.req.request_id == request_id:
                detail = "The same request id is in flight; wait for it."
                raise Refusal(Verdict.NOT_RUN, Reason.DUPLICATE, detail)

    def cancel(self, permits: list[Permit]) -> None:
        """Cancel the work under some permits."""
        for flight in self._flights:
            if any(flight.permit is permit for permit in permits):
                flight.scope.cancel()

    def process_replaced(self, boot_id: str) -> None:
        """Take the proof that a process and its work have ended."""
        self._state.ended(boot_id)
        self._limiter.set_limit(self._state.limit)
        self._end_flights(boot_id, list(self._flights))

    async def watch_leases(self) -> None:
        """Let work go on for as long as leases are renewed."""
        while True:
            await self._flying.wait()
            now = self._clock.now()
            for flight in self._flights:
                flight.extend(now)
            await anyio.sleep(_LEASE_WATCH_INTERVAL_S)
            if not self._flights:
                self._flying = anyio.Event()

    async def watch_target(self) -> None:
        """Ask the target for its health, for ever."""
        while True:
            target = self._state.target
            if target is not None:
                await self._check_health(target, self._state.boot_id)
            await anyio.sleep(_STATUS_INTERVAL_S)

    async def _reap(self, flight: Flight) -> None:
        """Hold the slot until the target has ended abandoned work."""
        give_up_at = self._clock.now() + _REAP_LIMIT_S
        try:
            while not flight.ended and self._clock.now() < give_up_at:
                if await self._is_over(flight):
                    break
                await anyio.sleep(_REAP_INTERVAL_S)
        finally:
            self._close(flight)

    async def _is_over(self, flight: Flight) -> bool:
        if flight.failed:
            await self._check_health(flight.target, flight.boot_id)
        if flight.ended:
            return True
        try:
            return await flight.target.cancel(flight.req.request_id)
        except ConnectionRefusedError:
            self._process_gone(flight.boot_id)
            return True

    def _close(self, flight: Flight) -> None:
        flight.ended = True
        self._flights.discard(flight)
        flight.held.close()

    def _process_gone(self, boot_id: str) -> None:
        """
        Take a refused connection.

        A target that is shutting down may still work on requests whose
        connections are up; those that are lost have ended with it.
        """
        self._state.ended(boot_id)
        self._limiter.set_limit(self._state.limit)
        self._end_flights(boot_id, [fl for fl in self._flights if fl.failed])

    def _end_flights(self, boot_id: str, flights: list[Flight]) -> None:
        running = [
            flight
            for flight in flights
            if flight.boot_id == boot_id and flight.is_running
        ]
        fingerprints = [flight.req.fingerprint for flight in running]
        self._quarantine.crashed(boot_id, fingerprints)
        for flight in running:
            flight.ended = True

    async def _check_health(self, target: Target, boot_id: str) -> None:
        try:
            status = await target.status()
        except ConnectionRefusedError:
            self._process_gone(boot_id)
            return
        except ConnectionError:
            return
        if status.boot_id != boot_id:
            self.process_replaced(boot_id)
        elif boot_id == self._state.boot_id:
            self._state.reported(status)
