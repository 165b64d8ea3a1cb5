"""A state machine of the request log: no request runs twice."""

from __future__ import annotations

import asyncio

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from burdockgap.gate.request_log import RequestLog
from burdockgap.target import TargetReply
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.builders import make_body
from tests.gate.fakes import FakeClock

_WINDOW_S = 600.0
_MAX_BODY_BYTES = 100
_IDS = st.sampled_from(["a", "b", "c"])


async def read(reply):
    return b"".join([part async for part in reply.body])


class RequestLogMachine(RuleBasedStateMachine):
    """A resend within the window gets the first response or verdict."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.log = RequestLog(clock=self.clock, max_body_bytes=_MAX_BODY_BYTES)
        self.ran_at = {}
        self.answers = {}

    @rule(
        request_id=_IDS,
        outcome=st.sampled_from(["whole", "not-run", "lost"]),
        size=st.sampled_from([1, 60, 70_000]),
    )
    def serve(self, request_id, outcome, size):
        asyncio.run(self._serve(request_id, outcome, size))

    async def _serve(self, request_id, outcome, size):
        deadline = self.clock.now() + 1
        earlier = await self.log.find(request_id, 1, deadline)
        recent = self.ran_at.get(request_id, -_WINDOW_S)
        if earlier is None:
            assert self.clock.now() - recent >= _WINDOW_S
            await self._run(request_id, outcome, b"x" * size)
            return
        assert request_id in self.ran_at
        answer = self.answers[request_id]
        if earlier.body is not None:
            reply = earlier.replay()
            assert reply.status == 201
            assert await read(reply) == answer
            return
        with pytest.raises(Refusal) as caught:
            earlier.replay()
        whole = answer is not None
        expected = Verdict.RAN if whole else Verdict.MAY_HAVE_RUN
        assert caught.value.verdict is expected
        assert caught.value.reason is Reason.DUPLICATE

    async def _run(self, request_id, outcome, body):
        with self.log.recording(request_id, 1) as entry:
            if outcome == "not-run":
                return
            entry.dispatched = True
            self.ran_at[request_id] = self.clock.now()
            self.answers[request_id] = None
            if outcome == "lost":
                return
            reply = TargetReply(status=201, headers=[], body=make_body(body))
            assert await read(entry.capture(reply)) == body
            self.answers[request_id] = body

    @rule(seconds=st.sampled_from([1.0, 300.0, 700.0]))
    def time_passes(self, seconds):
        self.clock.seconds += seconds

    @invariant()
    def bodies_are_bounded(self):
        bodies = [e.body for e in self.log._entries.values() if e.body]
        assert sum(map(len, bodies)) <= _MAX_BODY_BYTES


RequestLogMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
test_request_log_machine = RequestLogMachine.TestCase


def test_find_while_first_outlasts_deadline():
    async def run():
        clock = FakeClock()
        log = RequestLog(clock=clock)
        with log.recording("a", 1) as entry:
            entry.dispatched = True
            with pytest.raises(Refusal) as caught:
                await log.find("a", 1, clock.now() + 0.05)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert caught.value.reason is Reason.DUPLICATE

    anyio.run(run)


def test_log_evicts_oldest_beyond_max_entries():
    clock = FakeClock()
    log = RequestLog(clock=clock, max_entries=2)
    with log.recording("in-flight", 1) as running:
        running.dispatched = True
        for request_id in ("a", "b", "c"):
            with log.recording(request_id, 1) as entry:
                entry.dispatched = True
        assert set(log._entries) == {"in-flight", "b", "c"}
