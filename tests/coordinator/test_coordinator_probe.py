from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest

from burdockgap.coordinator.coordinator_probe import CoordinatorProbe
from burdockgap.peer.messages.done import Done
from burdockgap.peer.messages.heard import Heard
from tests.builders import FakeClock, FakeFolds, make_session

OWN = 11


class FakePool:
    """Gives the listed answers; ``None`` means that a call fails."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.asked = []

    async def call(self, address, _method, _msg, _timeout_s):
        self.asked.append(address)
        answer = self.answers.pop(0)
        if answer is None:
            raise ConnectionError
        return Done(taken=answer)


def make_probe(answers, *, elected=False, able=True, members=5):
    folds = FakeFolds()
    folds.claim(peer_address="coordinator")
    entries = [
        make_session(
            session_id=number,
            incarnation=1 if number == 1 else 10 + number - 1,
            peer_address=f"peer-{number}",
        )
        for number in range(1, members + 1)
    ]
    if entries:
        folds.admit(*entries)
    pool = FakePool(answers)
    clock = FakeClock()
    local = SimpleNamespace(
        is_elected=lambda: elected, can_append=lambda: able
    )
    probe = CoordinatorProbe(
        incarnation=OWN, folds=folds, pool=pool, local=local, clock=clock
    )
    return probe, pool, clock


@pytest.mark.parametrize(
    ("answers", "confirmed"),
    [
        pytest.param([False, False, False], True, id="all miss it"),
        pytest.param([False, False, True], True, id="most miss it"),
        pytest.param([True, None, False], False, id="undecided"),
        pytest.param([True, True, False], False, id="most reach it"),
        pytest.param([None, None, None], False, id="nobody answers"),
    ],
)
def test_confirms_loss(answers, confirmed):
    probe, pool, _ = make_probe(answers)
    assert anyio.run(probe.confirms_loss) is confirmed
    assert not {"peer-1", "peer-2"} & set(pool.asked)


def test_confirms_loss_without_peers():
    probe, _, _ = make_probe([], members=0)
    assert anyio.run(probe.confirms_loss)


def test_isolated_daemon_backs_off_between_claims():
    probe, _, clock = make_probe([None] * 100)
    claims = []
    for _ in range(30):
        if anyio.run(probe.confirms_loss):
            claims.append(clock.now())
        clock.time += 1.0
    assert [int(at - 1000) for at in claims] == [4, 13, 30][: len(claims)]
    assert len(claims) == 2


@pytest.mark.parametrize(
    ("elected", "able", "term", "taken"),
    [
        pytest.param(True, True, 1, True, id="coordinator"),
        pytest.param(True, False, 1, False, id="cannot write"),
        pytest.param(False, True, 1, False, id="not elected"),
        pytest.param(True, True, 2, False, id="behind"),
        pytest.param(False, True, 0, True, id="ahead"),
    ],
)
def test_answer(elected, able, term, taken):
    probe, _, _ = make_probe([], elected=elected, able=able)
    msg = Heard(term=term, indirect=False)
    assert anyio.run(probe.answer, msg).taken is taken


@pytest.mark.parametrize("reached", [True, False, None])
def test_answer_indirect(reached):
    probe, pool, _ = make_probe([reached])
    msg = Heard(term=1, indirect=True)
    assert anyio.run(probe.answer, msg).taken is bool(reached)
    assert pool.asked == ["coordinator"]
