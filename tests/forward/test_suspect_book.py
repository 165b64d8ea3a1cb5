"""What daemons know of requests that crash targets."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.forward.suspect_book import SuspectBook
from tests.gate.fakes import FakeClock

SERVICE, REQUEST = "dispatch", 7
BOOKS = 3


@pytest.fixture
def clock():
    return FakeClock()


def make_book(clock, *, crashes=0):
    book = SuspectBook(clock)
    for number in range(crashes):
        book.crashed(SERVICE, f"m{number}/1", [REQUEST])
    return book


@pytest.mark.parametrize(
    "values",
    [
        pytest.param([], id="empty"),
        pytest.param([7, []], id="service"),
        pytest.param([SERVICE, [[REQUEST, [1]]]], id="short"),
        pytest.param([SERVICE, [[-1, [1], 0.0]]], id="fingerprint"),
        pytest.param([SERVICE, [[REQUEST, ["x"], 0.0]]], id="crash"),
        pytest.param([SERVICE, [[REQUEST, 1, 0.0]]], id="crashes"),
        pytest.param([SERVICE, [[REQUEST, [1], float("nan")]]], id="age"),
    ],
)
def test_malformed_suspects_change_nothing(clock, values):
    book = make_book(clock)
    with pytest.raises((ValueError, TypeError)):
        book.merge(values)
    assert not book.has_suspects(SERVICE)


@pytest.mark.parametrize("data", [b"", b"\xc1", msgpack.packb([[1, 2]])])
def test_malformed_record_is_refused(clock, data):
    with pytest.raises(ValueError, match="malformed suspects"):
        make_book(clock).merge_stored(data, own=False)


def test_record_keeps_the_quarantine_and_its_end(clock):
    before = make_book(clock, crashes=2)
    clock.seconds += 20
    after = make_book(clock)
    after.merge_stored(before.encode_own(), own=True)
    assert after.blocked_for_s(SERVICE, REQUEST) == pytest.approx(40, abs=0.1)
    # The next record of this daemon has it as well.
    assert after.encode_own() == before.encode_own()


def test_record_is_written_for_quarantines_and_their_end(clock):
    book, writes = make_book(clock), []
    book.on_own_change = lambda: writes.append(book.encode_own())
    book.crashed(SERVICE, "m1/1", [REQUEST])
    assert not writes
    book.crashed(SERVICE, "m1/2", [REQUEST])
    assert len(writes) == 1
    book.merge(book.export(SERVICE))
    assert len(writes) == 1
    book.answered(SERVICE, REQUEST)
    assert msgpack.unpackb(writes[-1]) == []


def test_answer_clears_the_suspect_at_other_daemons(clock):
    suspecting, answering = make_book(clock, crashes=2), make_book(clock)
    answering.answered(SERVICE, REQUEST)
    merged = answering.merge(suspecting.export(SERVICE))
    assert merged.answered_here == [REQUEST]
    assert not answering.has_suspects(SERVICE)
    merged = suspecting.merge(answering.export_answer(SERVICE, REQUEST))
    assert merged.answered_elsewhere == [REQUEST]
    assert suspecting.blocked_for_s(SERVICE, REQUEST) == 0


def test_only_quarantined_requests_are_repeated(clock):
    book = make_book(clock, crashes=2)
    book.crashed(SERVICE, "m1/1", [REQUEST + 1])
    told = {row[0] for row in book.export(SERVICE)[1]}
    assert told == {REQUEST, REQUEST + 1}
    ((_, rows),) = book.export_quarantined()
    assert [row[0] for row in rows] == [REQUEST]
    assert make_book(clock, crashes=1).export_quarantined() == []


def test_unknown_answer_is_not_told(clock):
    assert make_book(clock).export_answer(SERVICE, REQUEST) is None


def test_old_answer_clears_nothing(clock):
    answering = make_book(clock)
    answering.answered(SERVICE, REQUEST)
    clock.seconds += 11
    suspecting = make_book(clock, crashes=2)
    assert not answering.merge(suspecting.export(SERVICE)).answered_here
    suspecting.merge(answering.export_answer(SERVICE, REQUEST))
    assert suspecting.blocked_for_s(SERVICE, REQUEST) > 0


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.integers(0, BOOKS - 1)),
        st.tuples(
            st.just("send"),
            st.integers(0, BOOKS - 1),
            st.integers(0, BOOKS - 1),
        ),
        st.tuples(st.just("restart"), st.integers(0, BOOKS - 1)),
    ),
    max_size=30,
)


# BUDGET: knowledge must not depend on the order of messages, their loss
# or repetition, while one daemon that has it runs.
@given(STEPS)
def test_all_daemons_know_once_one_has_told_them(steps):
    clock = FakeClock()
    books = [SuspectBook(clock) for _ in range(BOOKS)]
    known = [set() for _ in range(BOOKS)]
    for number, (kind, *indexes) in enumerate(steps):
        if kind == "crash":
            index = indexes[0]
            books[index].crashed(SERVICE, f"m{index}/{number}", [REQUEST])
            known[index].add(number)
        elif kind == "send":
            source, target = indexes
            books[target].merge(books[source].export(SERVICE))
            known[target] |= known[source]
        else:
            books[indexes[0]] = SuspectBook(clock)
            known[indexes[0]] = set()
    for book, crashes in zip(books, known, strict=True):
        is_blocked = book.blocked_for_s(SERVICE, REQUEST) > 0
        assert is_blocked == (len(crashes) >= 2)
