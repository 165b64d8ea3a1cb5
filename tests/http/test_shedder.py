from __future__ import annotations

import random

import pytest

from burdockgap.http.shedder import Shedder
from burdockgap.verdict import Refusal, Verdict
from tests.builders import FakeClock


@pytest.fixture
def shedder():
    return Shedder(clock=FakeClock(), rng=random.Random(1))


def refused(shedder, count=200):
    """Return how many requests are refused."""
    found = 0
    for _ in range(count):
        try:
            shedder.check()
        except Refusal as refusal:
            found += refusal.verdict is Verdict.NOT_RUN
    return found


def test_punctual_daemon_sheds_nothing(shedder):
    for _ in range(100):
        shedder.measured(0.005)
    assert refused(shedder) == 0


def test_one_pause_sheds_little(shedder):
    shedder.measured(0.4)
    for _ in range(40):
        shedder.measured(0.005)
    assert refused(shedder) < 40


def test_late_daemon_sheds_ever_more(shedder):
    for _ in range(10):
        shedder.measured(0.2)
    early = refused(shedder)
    for _ in range(20):
        shedder.measured(0.2)
    assert 0 < early < refused(shedder) < 200


def test_shedding_ends(shedder):
    for _ in range(30):
        shedder.measured(0.2)
    for _ in range(150):
        shedder.measured(0.0)
    assert refused(shedder) == 0
