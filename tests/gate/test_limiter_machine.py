"""A state machine of the limiter: its limit, order and refusals."""

from __future__ import annotations

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from burdockgap.gate.limiter import Limiter
from burdockgap.verdict import Refusal, Verdict
from burdockgap.verdict.reason import Reason
from tests.gate.fakes import FakeClock

_QUEUE_LENGTH = 3
_LONG_S = 10_000.0


class LimiterMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.limiter = Limiter(
            clock=self.clock, limit=1, queue_length=_QUEUE_LENGTH
        )
        self.waiting = []
        self.running = 0
        self.allowed = 1

    def teardown(self):
        for _, task in self.waiting:
            task.cancel()
        self.settle()
        self.loop.close()

    def settle(self):
        for _ in range(5):
            self.loop.run_until_complete(asyncio.sleep(0))
        still_waiting = []
        for deadline, task in self.waiting:
            if not task.done():
                still_waiting.append((deadline, task))
            elif not task.cancelled() and task.exception() is None:
                assert self.clock.now() < deadline
                assert not still_waiting, "a later request got its slot first"
                self.running += 1
            elif not task.cancelled():
                assert isinstance(task.exception(), Refusal)
                assert task.exception().verdict is Verdict.NOT_RUN
        self.waiting = still_waiting

    @precondition(lambda self: self.waiting)
    @rule()
    def finish_after_deadlines(self):
        self.clock.seconds += 6.0
        self.running -= 1
        self.limiter.release()
        self.settle()

    @rule(deadline_s=st.sampled_from([0.0, 5.0, _LONG_S]))
    def arrive(self, deadline_s):
        deadline = self.clock.now() + deadline_s
        request = self.limiter.acquire(deadline=deadline, wait_s=_LONG_S)
        self.waiting.append((deadline, self.loop.create_task(request)))
        self.settle()

    @precondition(lambda self: self.running)
    @rule()
    def finish(self):
        self.running -= 1
        self.limiter.release()
        self.settle()

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, _QUEUE_LENGTH), release_first=st.booleans())
    def cancel_waiter(self, index, release_first):
        if release_first and self.running:
            # The slot may just have been granted to this waiter.
            self.running -= 1
            self.limiter.release()
        self.waiting[index % len(self.waiting)][1].cancel()
        self.settle()

    @rule(limit=st.integers(1, 4))
    def change_limit(self, limit):
        self.allowed = max(self.running, limit)
        self.limiter.set_limit(limit)
        self.settle()

    @rule()
    def refuse_waiting(self):
        self.limiter.refuse_waiting(Reason.DRAINING, "")
        self.settle()
        assert not self.waiting

    @rule(seconds=st.sampled_from([1.0, 6.0]))
    def time_passes(self, seconds):
        self.clock.seconds += seconds

    @invariant()
    def never_above_limit(self):
        self.allowed = max(self.limiter.limit, min(self.allowed, self.running))
        assert self.limiter.in_flight == self.running <= self.allowed

    @invariant()
    def no_waiter_while_a_slot_is_free(self):
        assert self.limiter.waiting == len(self.waiting) <= _QUEUE_LENGTH
        if self.waiting:
            assert self.running >= self.limiter.limit


LimiterMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
test_limiter_machine = LimiterMachine.TestCase
