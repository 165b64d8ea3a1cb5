from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.gate.ramp import Ramp


def make_warm_ramp(service_s=0.002):
    ramp = Ramp(start=1, slots=6, step=4)
    for _ in range(40):
        ramp.completed(service_s)
    assert ramp.limit == 6
    return ramp


@given(events=st.lists(st.sampled_from(["fast", "slow", "fail", "shed"])))
def test_limit_rises_only_by_completions(events):
    """The limit stays within its bounds in any order of events."""
    ramp = Ramp(start=2, slots=5, step=3)
    completed = 0
    for event in events:
        before = ramp.limit
        if event in ("fast", "slow"):
            completed += 1
            ramp.completed(0.002 if event == "fast" else 0.5)
        elif event == "fail":
            ramp.failed()
        else:
            ramp.shed()
        assert 2 <= ramp.limit <= min(5, 2 + completed // 3)
        assert ramp.limit <= before + (event in ("fast", "slow"))


@pytest.mark.parametrize(
    ("event", "falls"),
    [
        pytest.param(lambda r: r.completed(0.05), True, id="slow"),
        pytest.param(lambda r: r.failed(), True, id="failures"),
        pytest.param(lambda r: r.completed(0.006), False, id="jitter"),
    ],
)
def test_jump_of_service_time(event, falls):
    """A target may become cold without an announcement."""
    ramp = make_warm_ramp()
    before = ramp.resets
    for _ in range(8):
        event(ramp)
    assert (ramp.resets > before) is falls
    assert (ramp.limit < 6) is falls


def test_slow_service_alone_is_no_jump():
    ramp = make_warm_ramp(0.2)
    before = ramp.resets
    for _ in range(50):
        ramp.completed(0.4)
    assert ramp.resets == before


def test_one_slow_answer_is_no_jump():
    ramp = make_warm_ramp()
    before = ramp.resets
    for index in range(40):
        ramp.completed(1.0 if index % 4 == 0 else 0.002)
    assert ramp.resets == before
