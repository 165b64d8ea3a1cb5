"""Grants to senders that share a machine's receiving link."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from burdockgap.scheduling.receive_grants import ReceiveGrants

RATE = 1_000_000.0
WINDOW = 50_000
"""What the link takes in 50 ms."""


def granted_bytes(grants):
    return sum(size for _, size in grants)


# CONFIG: what all senders together had under way took seconds.
def test_senders_together_have_the_window_under_way():
    grants = ReceiveGrants(RATE)
    for number in range(50):
        grants.offer(number, 100_000)
    assert granted_bytes(grants.issue(0.0)) == WINDOW
    assert grants.under_way_bytes == WINDOW
    assert grants.issue(0.1) == []


def test_messages_are_granted_in_the_order_of_their_offers():
    grants = ReceiveGrants(RATE)
    for name in ("first", "second", "third"):
        grants.offer(name, 30_000)
    assert grants.issue(0.0) == [("first", 25_000), ("second", 25_000)]
    assert not grants.received("first", 25_000, 0.1)
    assert grants.issue(0.1) == [("first", 5_000), ("third", 20_000)]


def test_distant_sender_may_have_more_under_way():
    grants = ReceiveGrants(RATE)
    grants.offer("near", 1_000_000)
    grants.offer("far", 1_000_000, 0.08)
    assert dict(grants.issue(0.0)) == {"near": 25_000, "far": 65_000}


# A sender that stops in the middle of a message.
def test_unused_grant_passes_to_the_next_message():
    grants = ReceiveGrants(RATE)
    for name in ("silent", "mute", "next"):
        grants.offer(name, 100_000)
    assert dict(grants.issue(0.0)) == {"silent": 25_000, "mute": 25_000}
    assert grants.next_expiry == 0.2
    assert ("next", 25_000) in grants.issue(0.2)
    # The late bytes still count as part of the message.
    assert not grants.received("silent", 50_000, 0.3)


def test_withdrawn_message_leaves_its_grant_to_others():
    grants = ReceiveGrants(RATE)
    grants.offer("gone", 25_000)
    grants.offer("also gone", 100_000)
    grants.issue(0.0)
    grants.offer("stays", 10_000)
    grants.withdraw("gone")
    grants.withdraw("also gone")
    assert grants.issue(0.0) == [("stays", 10_000)]
    assert grants.received("stays", 10_000, 0.1)
    assert grants.backlog_s == 0
    assert math.isinf(grants.next_expiry)


# A peer that does not wait for grants.
def test_bytes_without_a_grant_are_counted():
    grants = ReceiveGrants(RATE)
    grants.offer("eager", 100_000)
    assert not grants.received("eager", 90_000, 0.0)
    assert grants.issue(0.0) == [("eager", 10_000)]
    assert grants.received("eager", 20_000, 0.0)
    assert grants.under_way_bytes == 0


@given(
    sizes=st.lists(st.integers(1, 300_000), min_size=1, max_size=20),
    chooser=st.randoms(use_true_random=False),
)
def test_every_message_is_granted_whole(sizes, chooser):
    grants = ReceiveGrants(RATE)
    left = dict(enumerate(sizes))
    for number, size in left.items():
        grants.offer(number, size)
    unsent = dict.fromkeys(left, 0)
    now = 0.0
    while left:
        for number, size in grants.issue(now):
            unsent[number] += size
        assert grants.under_way_bytes <= WINDOW
        number = chooser.choice([key for key in left if unsent[key]])
        size = chooser.randint(1, unsent[number])
        unsent[number] -= size
        left[number] -= size
        now += size / RATE
        if grants.received(number, size, now):
            assert left.pop(number) == 0
