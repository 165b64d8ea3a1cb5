from __future__ import annotations

import random

import pytest

from burdockgap.http.shedder import Shedder
from burdockgap.verdict import Refusal, Verdict
from tests.builders import FakeClock


@pytest.fixture
def shedder():
    return Shedder(clock=FakeClock(), rng=random.Random(1))


def count_refused(shedder, count=200):
    """Return how many of ``count`` requests are refused."""
    refused_requests = 0
    for _ in range(count):
        try:
            shedder.check()
        except Refusal as refusal:
            refused_requests += refusal.verdict is Verdict.NOT_RUN
    return refused_requests


def test_low_lag_sheds_nothing(shedder):
    for _ in range(100):
        shedder.record_lag(0.005)
    assert count_refused(shedder) == 0


def test_single_lag_spike_sheds_little(shedder):
    shedder.record_lag(0.4)
    for _ in range(40):
        shedder.record_lag(0.005)
    assert count_refused(shedder) < 40


def test_shedding_grows_with_lasting_lag(shedder):
    for _ in range(10):
        shedder.record_lag(0.2)
    early = count_refused(shedder)
    for _ in range(20):
        shedder.record_lag(0.2)
    assert 0 < early < count_refused(shedder) < 200


def test_shedding_ends_after_lag(shedder):
    for _ in range(30):
        shedder.record_lag(0.2)
    for _ in range(150):
        shedder.record_lag(0.0)
    assert count_refused(shedder) == 0
