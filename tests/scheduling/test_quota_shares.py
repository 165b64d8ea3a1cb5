"""Quotas that many daemons keep together, over a simulated clock."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.scheduling.quota_site import QuotaSite

SIZES = st.sampled_from([1, 2, 9, 40, 89, 195])
RATES = st.sampled_from([7, 12, 40, 190])
END_S = 20.0

disturbances = st.lists(
    st.tuples(
        st.floats(1.0, 15.0),
        st.sampled_from(["cut", "heal", "restart", "flood", "holders"]),
    ),
    max_size=6,
)


def disturb(site, kind):
    if kind == "cut":
        site.cut([site.random.randrange(3) for _ in site.daemons])
    elif kind == "heal":
        site.cut([0] * site.size)
    elif kind == "flood":
        site.flood(5)
    elif kind == "holders":
        for daemon in site.holders(site.daemons[0]):
            site.restart(daemon)
    else:
        for daemon in site.random.sample(site.daemons, site.size // 3):
            site.restart(daemon)


@settings(max_examples=40, deadline=None)
@given(
    size=SIZES,
    rate=RATES,
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.05, 0.5]),
    delay_s=st.sampled_from([0.002, 0.1, 0.4]),
    excess=st.sampled_from([1.0, 3.0, 20.0]),
    events=disturbances,
)
def test_no_window_exceeds_the_bound(
    size, rate, seed, loss, delay_s, excess, events
):
    """Guards against daemons that together admit more than allowed."""
    site = QuotaSite(size, rate=rate, seed=seed, loss=loss, delay_s=delay_s)
    site.flood(3)
    site.demand(rate * excess, site.daemons, END_S)
    for time, kind in events:
        site.after(time, disturb, site, kind)
    site.run(END_S)
    assert site.most_in_window() <= site.bound()


@settings(max_examples=12, deadline=None)
@given(
    size=SIZES,
    seed=st.integers(0, 2**32),
    before=RATES,
    after=RATES,
)
def test_lowered_limit_is_in_force_after_one_window(size, seed, before, after):
    site = QuotaSite(size, rate=max(before, after), seed=seed)
    site.demand(site.rate * 3, site.daemons, END_S)
    site.run(6.0)
    site.set_limit(min(before, after), min(before, after))
    site.run(END_S)
    assert site.most_in_window(since=11.0) <= site.bound()


@pytest.mark.parametrize("loss", [0.0, 0.02])
@pytest.mark.parametrize("users", [1, 3, 89])
@pytest.mark.parametrize("rate", [7, 40, 190])
def test_demand_above_the_limit_uses_it(rate, users, loss):
    """Guards against tokens that stay where nobody takes them."""
    site = QuotaSite(89, rate=rate, seed=1, loss=loss)
    site.demand(rate * 3, site.daemons[:users], 45.0)
    site.run(45.0)
    used = sum(time >= 5.0 for time in site.admitted) / 40.0
    assert used >= 0.95 * rate


@pytest.mark.parametrize(
    ("rate", "end_s"),
    [
        pytest.param(7, 120.0, id="7"),
        pytest.param(40, 60.0, id="40"),
        pytest.param(190, 25.0, id="190"),
    ],
)
@pytest.mark.parametrize(
    ("size", "users"), [(1, 1), (9, 3), (89, 3), (89, 89), (195, 195)]
)
def test_demand_below_the_limit_is_admitted(rate, end_s, users, size):
    """Guards against refusals while the account is below its limit."""
    site = QuotaSite(size, rate=rate, seed=2)
    site.demand(rate / 1.6, site.daemons[:users], end_s)
    site.run(end_s + 1.0)
    total = len(site.admitted) + len(site.refused)
    assert len(site.refused) * 500 <= total


def test_demand_that_moves_is_admitted():
    site = QuotaSite(89, rate=7, seed=3)
    for second in range(0, 60, 2):
        users = site.daemons[second : second + 20]
        site.after(second, site.demand, 7 / 1.6, users, second + 2.0)
    site.run(61.0)
    assert len(site.refused) * 500 <= len(site.admitted)


def test_parts_of_a_cut_site_use_the_limit_together():
    """Guards against parts that stop admitting, or admit it twice."""
    site = QuotaSite(89, rate=40, seed=4)
    site.demand(120, site.daemons, 60.0)
    site.run(10.0)
    site.cut([daemon.index % 2 for daemon in site.daemons])
    site.run(60.0)
    used = sum(time >= 15.0 for time in site.admitted) / 45.0
    assert used >= 0.95 * 40
    assert site.most_in_window() <= site.bound()


def test_loss_of_a_holder_is_bridged():
    """Guards against refusals until a lost holder is noticed."""
    site = QuotaSite(89, rate=40, seed=5)
    site.demand(25, site.daemons, 60.0)
    for second in range(5, 60, 10):
        site.after(
            second,
            lambda: site.restart(site.holders(site.daemons[0])[0], 30.0),
        )
    site.run(61.0)
    assert len(site.refused) * 20 <= len(site.admitted)


@pytest.mark.parametrize("size", [1, 9, 89])
def test_refused_clients_return_at_different_times(size):
    """Guards against clients that all return at once."""
    site = QuotaSite(size, rate=40, seed=6)
    share = site.daemons[0].share
    times = sorted(share.return_after_s(1.0) for _ in range(40))
    assert 0.2 <= times[0] <= times[-1] <= 2.0
    assert len(set(times)) == 40
    assert max(b - a for a, b in itertools.pairwise(times)) < 0.8
