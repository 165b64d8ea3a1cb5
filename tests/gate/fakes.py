"""Fakes of the gate's collaborators."""

from __future__ import annotations

from contextlib import asynccontextmanager, contextmanager

import anyio

from burdockgap.target import TargetReply, TargetStatus
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.builders import make_body


class FakeClock:
    def __init__(self):
        self.seconds = 1000.0

    def now(self):
        return self.seconds

    def wall(self):
        return self.seconds


class FakePermit:
    """A permit whose expiry a test sets."""

    def __init__(self, unit, epoch, expires_at):
        self.unit = unit
        self.epoch = epoch
        self.expires_at = expires_at


class FakePermits:
    """Permits of a lease whose expiry a test sets."""

    def __init__(self, clock):
        self.clock = clock
        self.lease_ends_at = clock.now() + 3600
        self.entered = 0
        self.unit = None
        self.permit = None

    def check(self, _key_hash):
        if self.clock.now() >= self.lease_ends_at:
            raise Refusal(Verdict.NOT_RUN, Reason.NO_LEASE)

    @contextmanager
    def enter(self, key_hash):
        self.check(key_hash)
        self.entered += 1
        self.permit = FakePermit(
            unit=self.unit, epoch=2, expires_at=self.lease_ends_at
        )
        try:
            yield self.permit
        finally:
            self.entered -= 1


class FakeTarget:
    """A target that holds requests until the test releases them."""

    def __init__(self, boot_id="boot-1"):
        self.boot_id = boot_id
        self.may_finish = anyio.Event()
        self.sent = []
        self.running = 0
        self.most_running = 0
        self.cancel_ends = True
        self.leaving = False
        self.refusal = None
        self.silent = False

    def release(self):
        self.may_finish.set()

    @asynccontextmanager
    async def send(self, req):
        self.sent.append(req)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.may_finish.wait()
            if self.refusal is not None:
                raise self.refusal
            yield TargetReply(
                status=200,
                headers=[("x", "1")],
                body=make_body(b"a", req.request_id.encode()),
            )
        finally:
            self.running -= 1

    async def status(self):
        if self.silent:
            raise ConnectionError
        return TargetStatus(
            boot_id=self.boot_id, healthy=True, load=0, leaving=self.leaving
        )

    async def cancel(self, _request_id):
        return self.cancel_ends
