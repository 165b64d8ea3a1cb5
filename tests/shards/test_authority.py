"""Tests of the coordinator's authority."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.shards.authority import Authority
from burdockgap.shards.lease import AUTHORITY_S, CONFIRMATION_S

VOTERS = ("a", "b", "c", "d", "e")


def make_authority(votes, *, is_first=False, confirmed_at=99.0):
    authority = Authority(0.0, no_earlier_leases=is_first)
    authority.confirm(confirmed_at)
    for name, echo in votes.items():
        authority.vote(name, echo)
    return authority


@pytest.mark.parametrize(
    ("votes", "until"),
    [
        pytest.param({}, AUTHORITY_S, id="none"),
        pytest.param({"a": 9.0, "b": 9.0}, AUTHORITY_S, id="minority"),
        pytest.param(
            {"a": 9.0, "b": 8.0, "c": 7.0}, 7.0 + AUTHORITY_S, id="majority"
        ),
        pytest.param(
            {"a": 9.0, "b": 8.0, "x": 9.0}, AUTHORITY_S, id="strangers"
        ),
    ],
)
def test_until_majority_of_voters(votes, until):
    assert make_authority(votes).until(VOTERS) == until


def test_until_no_voters_no_authority():
    assert make_authority({"a": 9.0}).until(()) == 0.0


def test_vote_out_of_order_does_not_shorten_authority():
    authority = make_authority({"a": 9.0, "b": 9.0, "c": 9.0})
    authority.vote("c", 1.0)
    assert authority.until(VOTERS) == 9.0 + AUTHORITY_S


def test_safe_at_waits_for_earlier_leases():
    authority = make_authority({"a": 99.0, "b": 99.0, "c": 99.0})
    assert authority.safe_at is None
    authority.note_majority(100.0, VOTERS)
    assert authority.safe_at >= 100.0 + AUTHORITY_S


def test_safe_at_is_immediate_in_the_first_term():
    assert make_authority({}, is_first=True).safe_at == 0.0


# OWNER: a coordinator with a majority went on while a silent voter had
# replaced the voters in the store.
@pytest.mark.parametrize(
    ("silent_since", "until"),
    [
        pytest.param(50.0, 50.0 + CONFIRMATION_S, id="silent-after-write"),
        pytest.param(30.0, 40.0 + CONFIRMATION_S, id="silent-before-write"),
        pytest.param(99.0, 99.0 + AUTHORITY_S, id="all-vote"),
    ],
)
def test_until_without_a_vote_depends_on_the_last_write(silent_since, until):
    votes = {**dict.fromkeys(VOTERS, 99.0), "e": silent_since}
    assert make_authority(votes, confirmed_at=40.0).until(VOTERS) == until


def test_confirmation_is_needed_only_while_a_voter_is_silent():
    votes = dict.fromkeys(VOTERS, 50.0)
    assert not make_authority(votes, confirmed_at=5.0).needs_confirmation(
        50.5, VOTERS
    )
    votes["e"] = 40.0
    assert make_authority(votes, confirmed_at=5.0).needs_confirmation(
        50.5, VOTERS
    )


class CountingVoters(tuple):
    """Voters that count how often they are gone through."""

    __slots__ = ()
    passes = 0

    def __iter__(self):
        CountingVoters.passes += 1
        return super().__iter__()


# CONFIG: the coordinator's processor time grew with the square of the
# members, until it answered their reports too late.
def test_votes_are_not_ordered_for_each_report():
    names = [f"m{number}" for number in range(248)]
    authority = Authority(0.0, no_earlier_leases=True)
    voters = CountingVoters(names)
    CountingVoters.passes = 0
    for name in names:
        authority.vote(name, 1.0)
        authority.until(voters)
    assert CountingVoters.passes <= 10


votes = st.lists(
    st.tuples(st.integers(0, 30), st.floats(0, 50)), min_size=1, max_size=200
)


# OWNER: a right to act that ends too late lets two coordinators act.
@given(votes)
def test_authority_is_never_later_than_the_votes_allow(votes):
    voters = tuple(f"m{number}" for number in range(31))
    authority = Authority(0.0, no_earlier_leases=True)
    authority.confirm(60.0)
    counted = []
    for number, echo in votes:
        authority.vote(f"m{number}", echo)
        counted.append((f"m{number}", echo))
        exact = Authority(0.0, no_earlier_leases=True)
        exact.confirm(60.0)
        for name, at in counted:
            exact.vote(name, at)
        assert authority.until(voters) <= exact.until(voters)
