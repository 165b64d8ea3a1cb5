from __future__ import annotations

from contextlib import ExitStack

import anyio
import pytest

from burdockgap.metrics import Metrics
from burdockgap.peer.auth import PeerAuth
from burdockgap.peer.connection import Connection
from burdockgap.peer.pool import PeerPool
from tests.builders import FakeClock

ADDRESS = "127.0.0.1:1"


class _Channel:
    """A channel whose calls time out or are answered."""

    def __init__(self, *, silent):
        self.silent = silent
        self.calls = 0
        self.closed = False
        self.was_closed = False

    def close(self):
        self.closed = True


class _Pool(PeerPool):
    async def _unary(self, conn, *_args: object):
        conn.channel.calls += 1
        if conn.channel.silent:
            raise TimeoutError
        conn.record_activity(self._clock.now())

    def _open(self, address):
        conn = Connection(_Channel(silent=False), {}, self._clock.now())
        self._conns[address] = conn
        return conn


def _watch_connection(*, silent, pending, idle_s):
    channel = _Channel(silent=silent)

    async def run():
        clock = FakeClock()
        pool = _Pool(
            auth=PeerAuth(b"secret"),
            clock=clock,
            metrics=Metrics(),
            keepalive_s=5.0,
        )
        conn = Connection(channel, {}, clock.now() - idle_s)
        pool._conns[ADDRESS] = conn
        with ExitStack() as stack:
            for _ in range(pending):
                stack.enter_context(pool.stream(conn, ADDRESS))
            with anyio.move_on_after(0.7):
                await pool.watch()
            channel.was_closed = channel.closed

    anyio.run(run)
    return channel


def test_watch_closes_a_silent_connection_with_requests():
    assert _watch_connection(silent=True, pending=1, idle_s=1.0).was_closed


@pytest.mark.parametrize(
    ("silent", "pending", "idle_s", "calls"),
    [
        pytest.param(False, 1, 1.0, 1, id="answers"),
        pytest.param(True, 0, 1.0, 0, id="nothing pending"),
        pytest.param(True, 1, 0.1, 0, id="answered just now"),
    ],
)
def test_watch_keeps(silent, pending, idle_s, calls):
    channel = _watch_connection(silent=silent, pending=pending, idle_s=idle_s)
    assert not channel.was_closed
    assert channel.calls == calls
