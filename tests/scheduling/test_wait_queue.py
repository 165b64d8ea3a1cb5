"""The queue of requests that wait for a slot."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burdockgap.scheduling.queued_call import QueuedCall
from burdockgap.scheduling.slot_queue import SlotQueue
from burdockgap.scheduling.wait_queue import WaitQueue

NESTED, NEW = (0, 1, 0), (1, 1, 0)


def make_call(number, *, precedence=NEW, latest=1.0, service_s=0.1):
    return QueuedCall((precedence, latest, number), latest, service_s)


def test_start_is_predicted_from_the_work_ahead():
    queue = WaitQueue()
    queue.running_s = 0.3
    calls = [make_call(number, service_s=0.2) for number in range(3)]
    for call in calls:
        assert queue.offer(call, 0.0, 2, 2) == []
    starts = [call.predicted_start for call in calls]
    assert starts == pytest.approx([0.1, 0.2, 0.3])
    assert queue.predicted_start(calls[1], 0.5, 2, 2) == pytest.approx(0.7)
    # With a free slot the first one starts at once.
    assert queue.predicted_start(calls[0], 0.5, 1, 2) == 0.5
    assert queue.predicted_start(calls[1], 0.5, 1, 2) == pytest.approx(0.6)


def test_call_that_would_start_too_late_leaves_the_queue_unchanged():
    queue = WaitQueue()
    first, late = make_call(1), make_call(2, latest=0.05)
    queue.offer(first, 0.0, 1, 1)
    assert queue.offer(late, 0.0, 1, 1) == []
    refused = make_call(3, latest=0.09)
    assert queue.offer(refused, 0.0, 1, 1) == [refused]
    assert (queue.pop(0.0), queue.pop(0.0), queue.pop(0.0)) == (
        late,
        first,
        None,
    )


def test_margin_counts_for_the_offered_call_only():
    queue = WaitQueue()
    assert queue.offer(make_call(1, latest=0.3), 0.0, 1, 1, 0.2) == []
    refused = make_call(2, latest=0.25)
    assert queue.offer(refused, 0.0, 1, 1, 0.3) == [refused]
    assert len(queue) == 1


def test_lower_class_is_refused_when_it_is_pushed_too_far():
    queue = WaitQueue()
    new = make_call(1, latest=0.05)
    patient = make_call(2, latest=1.0)
    assert queue.offer(new, 0.0, 1, 1) == []
    assert queue.offer(patient, 0.0, 1, 1) == []
    nested = make_call(3, precedence=NESTED)
    assert queue.offer(nested, 0.0, 1, 1) == [new]
    assert (queue.pop(0.0), queue.pop(0.0)) == (nested, patient)


# QUEUE: a request that has waited is not refused for one of its own
# class that has just arrived.
def test_equal_call_that_would_make_a_waiting_one_late_is_refused():
    queue = WaitQueue()
    waiting = make_call(1, latest=0.15)
    assert queue.offer(waiting, 0.0, 1, 1) == []
    refused = make_call(2, latest=0.1, service_s=0.2)
    assert queue.offer(refused, 0.0, 1, 1) == [refused]
    assert queue.pop(0.0) is waiting


def test_length_has_a_hard_bound():
    queue = WaitQueue(2)
    calls = [make_call(number) for number in range(4)]
    refused = [queue.offer(call, 0.0, 1, 1) for call in calls]
    assert refused == [[], [], [calls[2]], [calls[3]]]


def test_call_whose_latest_start_has_passed_is_not_started():
    queue = WaitQueue()
    queue.offer(make_call(1, latest=0.5), 0.0, 1, 1)
    after = make_call(2, latest=2.0)
    queue.offer(after, 0.0, 1, 1)
    assert queue.pop(1.0) is after


# QUEUE: requests were held for a slot whose request took seven times as
# long as the others.
def test_slot_of_a_slow_request_is_not_counted_on():
    slots = SlotQueue(2)
    slots.start(0.0)
    slots.start(0.9)
    wait_s = 0.12
    call = make_call(1, latest=1.0 + wait_s, service_s=0.1)
    assert slots.offer(call, 1.0, 0.1, nested=True) == []
    assert call.predicted_start == pytest.approx(1.0 + 0.1 / 2)
    refused = make_call(2, latest=1.0 + wait_s, service_s=0.1)
    assert slots.offer(refused, 1.0, 0.1, nested=True) == [refused]


def test_new_requests_need_a_margin_while_others_are_refused():
    slots = SlotQueue(1)
    slots.start(0.0)
    call = make_call(1, latest=0.15)
    assert slots.offer(call, 0.0, 0.1, nested=False) == []
    slots.queue.remove(call)
    for _ in range(50):
        slots.note_arrival(refused=True, mean_s=0.1)
    call = make_call(2, latest=0.15)
    assert slots.offer(call, 0.0, 0.1, nested=False) == [call]
    call = make_call(3, precedence=NESTED, latest=0.15)
    assert slots.offer(call, 0.0, 0.1, nested=True) == []


def test_refused_call_is_told_when_it_would_be_queued():
    slots = SlotQueue(1)
    slots.start(0.0)
    for number in range(4):
        call = make_call(number, latest=5.0, service_s=0.2)
        assert slots.offer(call, 0.0, 0.2, nested=True) == []
    call = make_call(9, latest=0.5, service_s=0.2)
    call.rank = ((2, 0, 0), 0.5, 9)
    assert slots.offer(call, 0.0, 0.2, nested=True) == [call]
    # It would start after 0.9 s and may wait for 0.5 s.
    assert slots.room_in_s(call, 0.0, 0.2) == pytest.approx(0.4 + 0.2)


arrivals = st.lists(
    st.tuples(
        st.floats(0, 0.3),  # time since the last event
        st.sampled_from([NESTED, NEW, (1, 0, 0), (1, 1, 1)]),
        st.floats(-0.1, 1.0),  # longest wait
        st.floats(0.001, 0.5),  # service time
        st.booleans(),  # whether a request ends before
    ),
    max_size=60,
)


@settings(max_examples=200)
@given(size=st.integers(1, 4), steps=arrivals)
def test_each_call_is_started_in_order_and_in_time_or_refused(size, steps):
    """Nothing waits too long, and nothing is started and refused."""
    slots, now = SlotQueue(size, 20), 0.0
    waiting, started, refused = set(), set(), set()
    for number, step in enumerate(steps):
        pause_s, precedence, wait_s, service_s, ends = step
        now += pause_s
        if ends and slots.in_flight:
            slots.end()
        while slots.has_room and len(slots.queue):
            call = slots.queue.pop(now)
            if call is None:
                break
            assert now <= call.latest_start
            in_time = {item for item in waiting if item.latest_start >= now}
            assert call.rank == min(item.rank for item in in_time)
            waiting.remove(call)
            started.add(call)
            slots.start(now)
        # As the timers of the daemon do.
        for item in [item for item in waiting if item.latest_start < now]:
            slots.queue.remove(item)
            waiting.remove(item)
        call = QueuedCall(
            (precedence, now + wait_s, number), now + wait_s, service_s
        )
        if slots.has_room:
            slots.start(now)
            started.add(call)
            continue
        waiting.add(call)
        for item in slots.offer(call, now, 0.1, nested=precedence is NESTED):
            assert item in waiting
            assert item is call or item.rank > call.rank
            waiting.remove(item)
            refused.add(item)
        assert len(slots.queue) <= 20
    assert not started & refused
    assert not waiting & (started | refused)


@settings(max_examples=200)
@given(
    slots=st.integers(1, 4),
    steps=st.lists(
        st.tuples(
            st.floats(0, 0.3),
            st.sampled_from([NESTED, NEW, (1, 0, 0), (1, 1, 1)]),
            st.floats(-0.1, 1.0),
            st.floats(0.001, 0.5),
        ),
        max_size=40,
    ),
)
def test_call_is_displaced_by_a_better_class_only(slots, steps):
    """A call of the same class is refused only if it is late anyway."""
    queue, now, waiting = WaitQueue(), 0.0, []
    queue.running_s = 0.1
    for number, (pause_s, precedence, wait_s, service_s) in enumerate(steps):
        now += pause_s
        call = QueuedCall(
            (precedence, now + wait_s, number), now + wait_s, service_s
        )
        before = {
            item: queue.predicted_start(item, now, slots, slots)
            for item in waiting
        }
        refused = queue.offer(call, now, slots, slots)
        for item in refused:
            if item is not call:
                assert item.rank > call.rank
                is_late_anyway = before[item] > item.latest_start - 1e-6
                assert item.rank[0] > call.rank[0] or is_late_anyway
        waiting = [
            item for item in (*waiting, call) if item not in set(refused)
        ]
        for item in waiting:
            if item.rank >= call.rank and call not in refused:
                start = queue.predicted_start(item, now, slots, slots)
                assert start <= item.latest_start + 1e-6
    order = [queue.pop(-1.0) for _ in waiting]
    assert order == sorted(waiting, key=lambda item: item.rank)
