"""The invariant checker reports each kind of violation."""

from __future__ import annotations

import pytest

from soak.invariants import InvariantChecker

pytestmark = pytest.mark.anyio


def grant(
    checker, incarnation, *, first=0, last=9, fence=1, now=0.0, **fields
):
    checker.record_grant(
        incarnation,
        first,
        last,
        fence,
        now=now,
        expires_at=now + 1.0,
        **fields,
    )


def begin(
    checker, incarnation, request_id="r1", *, key=None, now=0.0, unsafe=False
):
    checker.record_run(
        incarnation, request_id, unsafe=unsafe, key=key, now=now
    )


def two_owners(checker):
    grant(checker, "a/1")
    grant(checker, "b/1", fence=2, now=0.5)
    begin(checker, "b/1", key=5, now=0.6)


def low_token(checker):
    grant(checker, "a/1", fence=7)
    grant(checker, "b/1", fence=7, now=5.0)


def low_token_of_new_incarnation(checker):
    grant(checker, "a/1", fence=7)
    checker.record_end("a/1", 0.1)
    grant(checker, "a/2", fence=6, now=5.0)


def runs_twice(checker):
    begin(checker, "a/1", unsafe=True)
    begin(checker, "b/1", unsafe=True)


def refused_after_run(checker):
    begin(checker, "a/1", unsafe=True)
    checker.record_answer("r1", 503, "", 1.0)


def run_after_refusal(checker):
    checker.record_answer("r1", 429, "", 1.0)
    begin(checker, "a/1", unsafe=True, now=2.0)


def wrong_answer(checker):
    checker.record_answer("r1", 200, "r2", 1.0)


def sent_after_draining(checker):
    checker.record_request_while_draining(
        "a/1", bound_s=2.0, after_s=2.1, now=9.0
    )


def limited(checker, *, count, limit_per_s=2.0, named_s=3.0):
    for number in range(count):
        checker.record_limited_request(
            "a/1",
            limit_per_s=limit_per_s,
            named_s=named_s,
            now=number * 0.1,
        )


def over_the_limit(checker):
    limited(checker, count=18)


def version_reverted(checker):
    checker.record_version("m1#1", 5, served=True, due=False, now=1.0)
    checker.record_version("m1#1", 5, served=False, due=False, now=2.0)


def version_not_applied(checker):
    checker.record_version("m1#1", 5, served=False, due=True, now=2.0)


def not_recovered(checker):
    checker.record_not_recovered("m1 is not ready", 20.0)


@pytest.mark.parametrize(
    ("break_it", "rule"),
    [
        pytest.param(two_owners, "OWNER", id="two-owners"),
        pytest.param(low_token, "OWNER", id="token-not-above"),
        pytest.param(
            low_token_of_new_incarnation, "OWNER", id="token-new-life"
        ),
        pytest.param(runs_twice, "TWICE", id="twice"),
        pytest.param(refused_after_run, "REFUSED", id="refused-had-run"),
        pytest.param(run_after_refusal, "REFUSED", id="runs-later"),
        pytest.param(wrong_answer, "MIXED", id="answer-of-another"),
        pytest.param(sent_after_draining, "DRAIN", id="draining"),
        pytest.param(over_the_limit, "LIMIT", id="over-the-limit"),
        pytest.param(version_reverted, "CONFIG", id="version-back"),
        pytest.param(version_not_applied, "CONFIG", id="version-late"),
        pytest.param(not_recovered, "RECOVER", id="not-served-again"),
    ],
)
def test_violation_is_reported(break_it, rule):
    checker = InvariantChecker()
    break_it(checker)
    (line,) = checker.violations
    assert rule in line


def test_kept_guarantees_are_not_reported():
    checker = InvariantChecker()
    grant(checker, "a/1")
    begin(checker, "a/1", key=5)
    checker.record_release("a/1", 0, 4, 0.5)
    grant(checker, "b/1", last=4, fence=2, now=0.6)
    begin(checker, "b/1", "r2", key=4, now=0.7)
    begin(checker, "a/1", "r3", key=5, now=0.7)
    grant(checker, "a/1", fence=1, now=0.8, counts=False)
    checker.record_answer("r2", 200, "r2", 0.8)
    checker.record_answer("r4", 503, "", 0.8)
    checker.record_version("m1#1", 5, served=True, due=True, now=1.0)
    checker.record_version("m1#2", 5, served=False, due=False, now=2.0)
    checker.record_request_while_draining(
        "a/1", bound_s=2.0, after_s=1.9, now=9.0
    )
    limited(checker, count=17)
    limited(checker, count=99, named_s=2.9)
    assert checker.violations == []


def test_late_retries_of_a_crashing_request_are_counted():
    checker = InvariantChecker()
    for now in (0.0, 1.0, 2.0):
        checker.record_crash("m1/1", sent_at=now, in_touch=True, now=now)
    # Not later than the stability window after the third crash.
    checker.record_crash("m1/1", sent_at=4.9, in_touch=True, now=5.1)
    # Machines that were disturbed are excused.
    checker.record_crash("m1/1", sent_at=6.0, in_touch=False, now=6.0)
    for now in (7.0, 8.0, 9.0):
        checker.record_crash("m1/1", sent_at=now, in_touch=True, now=now)
    assert not checker.violations
    checker.record_crash("m1/1", sent_at=10.0, in_touch=True, now=10.0)
    assert len(checker.violations) == 1
