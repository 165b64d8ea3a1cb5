"""The work of a stand-in target: slots, cold start and history."""

from __future__ import annotations

import json
import os
import random
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from standins.target_faults import TargetFaults
from standins.target_grants import TargetGrants, boottime

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.target_run import TargetRun

_COLD_SLOWDOWN = 10.0
_TICK_S = 0.05
_HANG_POLL_S = 0.02
_TOMBSTONE_S = 5.0
_CRASH_STATUS = 70
_SHED_SEED = 1


class NotRunError(Exception):
    """The request is refused and has had no effect."""


class TargetWork:
    """
    Runs requests within slots and records them.

    A cold target bears ``cold_slots`` requests at once and one more for
    each ``warm_step`` of them that have ended; more than that slow down
    all work by ten and count as overloaded.

    :param slots: requests that run at once.
    :param cold_slots: requests that a cold target bears.
    :param warm_step: ended requests per further slot of a cold target.
    :param service_s: time of a request.
    :param cold_s: time of a request while cold.
    :param checks_grants: whether work without a grant is refused.
    :param history_file: gets a JSON line for each start and end of a
        run, if not "".
    """

    def __init__(
        self,
        *,
        slots: int,
        cold_slots: int,
        warm_step: int,
        service_s: float,
        cold_s: float,
        checks_grants: bool,
        history_file: str,
    ) -> None:
        self.grants = TargetGrants(checks=checks_grants)
        self.faults = TargetFaults()
        self.runs: list[TargetRun] = []
        self.active: dict[str, TargetRun] = {}
        self.running = 0
        self.overloaded = 0
        self.most_running = 0
        self._slots = anyio.CapacityLimiter(slots)
        self._cold_slots = cold_slots
        self._warm_step = warm_step
        self._service_s = service_s
        self._cold_s = cold_s
        self._warmed = 0
        self._history_file = history_file
        self._tombstones: dict[str, float] = {}
        self._random = random.Random(_SHED_SEED)

    @property
    def in_flight(self) -> int:
        """Requests that have arrived and not ended."""
        return len(self.active)

    @property
    def bearable(self) -> int:
        """Requests that can run at once without slowing down."""
        warmed = self._warmed // self._warm_step
        return min(self._cold_slots + warmed, int(self._slots.total_tokens))

    @property
    def is_cold(self) -> bool:
        """Whether fewer requests than slots can be borne."""
        return self.bearable < self._slots.total_tokens

    def turn_cold(self) -> None:
        """Begin again as after a start."""
        self._warmed = 0

    @contextmanager
    def admitted(self, run: TargetRun) -> Iterator[None]:
        """
        Keep a request among those in flight.

        :raises NotRunError: if it is refused.
        """
        self._check_cancelled(run.request_id)
        if self._random.random() < self.faults.shed:
            raise NotRunError("shed")
        if run.request_id in self.active:
            raise NotRunError("the same request is in flight")
        self.active[run.request_id] = run
        try:
            yield
        finally:
            del self.active[run.request_id]
            run.ended = boottime()
            if run.started is not None:
                self._record(run)
            run.done.set()

    async def perform(self, run: TargetRun) -> None:
        """
        Do the work of a request and record its effect.

        :raises NotRunError: if it may not take effect.
        """
        async with self._slots:
            self._check(run)
            run.started = boottime()
            self.runs.append(run)
            self._record(run)
            if run.path == "/crash":
                os._exit(_CRASH_STATUS)
            with self._running():
                await self._spend_time()
            self._check(run)
            run.took_effect = True

    async def cancel(self, request_id: str, wait_s: float) -> bool:
        """Cancel a request; tell whether it does not run any more."""
        run = self.active.get(request_id)
        if run is None:
            self._tombstones[request_id] = boottime() + _TOMBSTONE_S
            return True
        if not self.faults.ignore_cancel:
            run.scope.cancel()
        with anyio.move_on_after(wait_s):
            await run.done.wait()
        return run.done.is_set()

    def _check(self, run: TargetRun) -> None:
        if not self.grants.allows(run.unit, run.epoch):
            raise NotRunError("no grant")
        if run.deadline_at is not None and boottime() > run.deadline_at:
            raise NotRunError("the deadline passed")

    def _check_cancelled(self, request_id: str) -> None:
        expires_at = self._tombstones.pop(request_id, 0.0)
        if boottime() < expires_at:
            raise NotRunError("cancelled before it arrived")

    @contextmanager
    def _running(self) -> Iterator[None]:
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        if self.running > self.bearable:
            self.overloaded += 1
        try:
            yield
            self._warmed += 1
        finally:
            self.running -= 1

    async def _spend_time(self) -> None:
        remaining_s = self._cold_s if self.is_cold else self._service_s
        while remaining_s > 0 or self.faults.hang:
            if self.faults.hang:
                await anyio.sleep(_HANG_POLL_S)
                continue
            slowdown = self._slowdown()
            before = boottime()
            await anyio.sleep(min(remaining_s * slowdown, _TICK_S))
            remaining_s -= (boottime() - before) / slowdown

    def _slowdown(self) -> float:
        overloaded = self.running > self.bearable
        return self.faults.slow * (_COLD_SLOWDOWN if overloaded else 1.0)

    def _record(self, run: TargetRun) -> None:
        if self._history_file:
            with open(self._history_file, "a") as file:
                file.write(json.dumps(run.to_json()) + "\n")
