from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest

from burdockgap.daemon.session_keeper import SessionKeeper
from burdockgap.ownership.own_session import OwnSession
from tests.builders import FakeClock, FixedLease, make_session

CLOCK = FakeClock()
UNIT = 3
EPOCH = 8


class Sessions:
    """The sessions of a daemon with one session and no unit table."""

    service = "records"

    def __init__(self) -> None:
        self.session = OwnSession(1)
        self.session.holdings.activate(UNIT, EPOCH - 2)
        self.live = True

    def admitted(self):
        return [self.session] if self.live else []

    def table(self):
        return None


class Client:
    """
    A coordinator that records the end of a session with a delay.

    It assigns a unit after the request to leave. The session must have
    closed its holdings by then, so that it does not activate the unit.
    """

    def __init__(self, sessions: Sessions) -> None:
        self.sessions = sessions
        self.activated_after_notice = False
        self.notices = []

    async def leave(self, msg):
        self.notices.append(msg)
        holdings = self.sessions.session.holdings
        if holdings.activate(UNIT, EPOCH):
            self.activated_after_notice = True
        self.sessions.live = not msg.final
        return True


@pytest.fixture
def sessions():
    return Sessions()


def make_keeper(sessions, client, others=None):
    return SessionKeeper(
        identity=SimpleNamespace(),
        slots=1,
        sessions=sessions,
        folds=SimpleNamespace(control=SimpleNamespace(sessions=others or {})),
        client=client,
        grants=SimpleNamespace(),
        parties=SimpleNamespace(),
        sender=SimpleNamespace(),
        witnesses=3,
        clock=CLOCK,
        may_open=lambda: True,
    )


def test_leave_is_final(sessions):
    client = Client(sessions)
    keeper = make_keeper(sessions, client)

    assert anyio.run(keeper.leave, 2.0)
    assert [msg.final for msg in client.notices] == [True]
    assert not client.activated_after_notice


def test_retire_is_final(sessions):
    client = Client(sessions)
    keeper = make_keeper(sessions, client)
    sessions.session.holdings.release(UNIT, EPOCH)

    async def retire():
        with anyio.move_on_after(0.1):
            await keeper._retire(sessions.session)

    anyio.run(retire)
    assert client.notices
    assert not client.activated_after_notice


@pytest.mark.parametrize(
    ("successors", "lease_s", "given_up"),
    [
        pytest.param([1], 1.0, False, id="named as successor"),
        pytest.param([7], 1.0, True, id="not named"),
        pytest.param([1], -1.0, True, id="named, but lapsed"),
    ],
)
def test_retire_waits_while_named(sessions, successors, lease_s, given_up):
    client = Client(sessions)
    other = make_session(session_id=2, successors=successors)
    keeper = make_keeper(sessions, client, {2: other})
    sessions.session.holdings.release(UNIT, EPOCH)
    sessions.session.lease = FixedLease(CLOCK.now() + lease_s)

    async def retire():
        with anyio.move_on_after(0.1):
            await keeper._retire(sessions.session)

    anyio.run(retire)
    assert bool(client.notices) is given_up


@pytest.mark.parametrize(
    ("left_s", "age_s", "due"),
    [
        pytest.param(9.0, 4.0, False, id="has a lease"),
        pytest.param(-1.0, 4.0, True, id="lapsed"),
        pytest.param(-1.0, 1.0, False, id="has no lease yet"),
    ],
)
def test_session_without_lease_is_due(sessions, left_s, age_s, due):
    keeper = make_keeper(sessions, Client(sessions))
    sessions.session.lease = FixedLease(CLOCK.now() + left_s)

    async def wait():
        with anyio.move_on_after(0.8) as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper._wait_until_due, sessions.session)
                await anyio.sleep(0.1)
                CLOCK.time += age_s
        return not scope.cancelled_caught

    assert anyio.run(wait) is due
