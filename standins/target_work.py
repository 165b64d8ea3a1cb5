"""Request execution of a stand-in target: slots, warm-up, history."""

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

_OVERLOAD_SLOWDOWN = 10.0
_MAX_SLEEP_S = 0.05
_HANG_POLL_S = 0.02
_TOMBSTONE_S = 5.0
_CRASH_EXIT_CODE = 70
_SHED_SEED = 1


class NotRunError(Exception):
    """The request was rejected without taking effect."""


class TargetWork:
    """
    Runs requests in a fixed number of slots and records each run.

    A cold target runs ``cold_slots`` requests at once at full speed,
    and one more for every ``warm_step`` completed requests. While more
    are running, all work is slowed down by a factor of ten; each
    request that starts then counts as overloaded.

    :param slots: maximum number of requests that run at once.
    :param cold_slots: requests that a target runs at once at full speed
        right after its start.
    :param warm_step: completed requests per additional slot while cold.
    :param service_s: service time of a request, in seconds.
    :param cold_s: service time of a request while cold, in seconds.
    :param checks_grants: whether work without a grant is rejected.
    :param history_file: file that gets a JSON line for each start and
        end of a run, "" for none.
    :ivar runs: all runs that started, oldest first.
    :ivar active: requests in flight, by request id.
    :ivar running: number of requests that occupy a slot.
    :ivar overloaded: number of requests that started over capacity.
    :ivar most_running: highest value of ``running`` so far.
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
        self._completed = 0
        self._history_file = history_file
        self._tombstones: dict[str, float] = {}
        self._rng = random.Random(_SHED_SEED)

    @property
    def in_flight(self) -> int:
        """Number of requests that have arrived and not ended."""
        return len(self.active)

    @property
    def capacity(self) -> int:
        """Number of requests that can run at once at full speed."""
        warm_slots = self._completed // self._warm_step
        return min(
            self._cold_slots + warm_slots, int(self._slots.total_tokens)
        )

    @property
    def is_cold(self) -> bool:
        """Whether the capacity is still below the number of slots."""
        return self.capacity < self._slots.total_tokens

    def reset_warmup(self) -> None:
        """Make the target as cold as after its start."""
        self._completed = 0

    @contextmanager
    def admitted(self, run: TargetRun) -> Iterator[None]:
        """
        Track a request as in flight within the block.

        :raises NotRunError: if the request is rejected.
        """
        self._check_cancelled(run.request_id)
        if self._rng.random() < self.faults.shed:
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
                self._append_history(run)
            run.done.set()

    async def perform(self, run: TargetRun) -> None:
        """
        Simulate the work of a request and record its effect.

        The grant and the deadline are checked before the work and again
        before it takes effect.

        :raises NotRunError: if the request may not take effect.
        """
        async with self._slots:
            self._check_allowed(run)
            run.started = boottime()
            self.runs.append(run)
            self._append_history(run)
            if run.path == "/crash":
                os._exit(_CRASH_EXIT_CODE)
            with self._count_running():
                await self._simulate_work()
            self._check_allowed(run)
            run.took_effect = True

    async def cancel(self, request_id: str, wait_s: float) -> bool:
        """
        Cancel a request and wait up to ``wait_s`` seconds for its end.

        If the request has not arrived yet, it is rejected if it arrives
        within the next few seconds.

        :return: whether the request is no longer running.
        """
        run = self.active.get(request_id)
        if run is None:
            self._tombstones[request_id] = boottime() + _TOMBSTONE_S
            return True
        if not self.faults.ignore_cancel:
            run.scope.cancel()
        with anyio.move_on_after(wait_s):
            await run.done.wait()
        return run.done.is_set()

    def _check_allowed(self, run: TargetRun) -> None:
        if not self.grants.allows(run.unit, run.epoch):
            raise NotRunError("no grant")
        if run.deadline_at is not None and boottime() > run.deadline_at:
            raise NotRunError("the deadline passed")

    def _check_cancelled(self, request_id: str) -> None:
        expires_at = self._tombstones.pop(request_id, 0.0)
        if boottime() < expires_at:
            raise NotRunError("cancelled before it arrived")

    @contextmanager
    def _count_running(self) -> Iterator[None]:
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        if self.running > self.capacity:
            self.overloaded += 1
        try:
            yield
            self._completed += 1
        finally:
            self.running -= 1

    async def _simulate_work(self) -> None:
        remaining_s = self._cold_s if self.is_cold else self._service_s
        while remaining_s > 0 or self.faults.hang:
            if self.faults.hang:
                await anyio.sleep(_HANG_POLL_S)
                continue
            slowdown = self._slowdown()
            before = boottime()
            await anyio.sleep(min(remaining_s * slowdown, _MAX_SLEEP_S))
            remaining_s -= (boottime() - before) / slowdown

    def _slowdown(self) -> float:
        overloaded = self.running > self.capacity
        return self.faults.slow * (_OVERLOAD_SLOWDOWN if overloaded else 1.0)

    def _append_history(self, run: TargetRun) -> None:
        if self._history_file:
            with open(self._history_file, "a") as file:
                file.write(json.dumps(run.to_json()) + "\n")
