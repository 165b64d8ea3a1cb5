"""Each check of the soak catches what it is for."""

from __future__ import annotations

import pytest

from soak.promises import Promises

pytestmark = pytest.mark.anyio


def grant(promises, life, *, first=0, last=9, fence=1, now=0.0, **fields):
    promises.granted(
        life, first, last, fence, now=now, until=now + 1.0, **fields
    )


def begin(promises, life, request_id="r1", *, key=None, now=0.0, unsafe=False):
    promises.began(life, request_id, unsafe=unsafe, key=key, now=now)


def two_owners(promises):
    grant(promises, "a/1")
    grant(promises, "b/1", fence=2, now=0.5)
    begin(promises, "b/1", key=5, now=0.6)


def low_token(promises):
    grant(promises, "a/1", fence=7)
    grant(promises, "b/1", fence=7, now=5.0)


def low_token_of_new_life(promises):
    grant(promises, "a/1", fence=7)
    promises.ended("a/1", 0.1)
    grant(promises, "a/2", fence=6, now=5.0)


def runs_twice(promises):
    begin(promises, "a/1", unsafe=True)
    begin(promises, "b/1", unsafe=True)


def refused_though_run(promises):
    begin(promises, "a/1", unsafe=True)
    promises.answered("r1", 503, "", 1.0)


def runs_though_refused(promises):
    promises.answered("r1", 429, "", 1.0)
    begin(promises, "a/1", unsafe=True, now=2.0)


def wrong_answer(promises):
    promises.answered("r1", 200, "r2", 1.0)


def sent_after_draining(promises):
    promises.reached_leaving("a/1", bound_s=2.0, after_s=2.1, now=9.0)


def went_back(promises):
    promises.version_seen("m1#1", 5, served=True, due=False, now=1.0)
    promises.version_seen("m1#1", 5, served=False, due=False, now=2.0)


def not_in_force(promises):
    promises.version_seen("m1#1", 5, served=False, due=True, now=2.0)


def never_again(promises):
    promises.not_recovered("m1 is not ready", 20.0)


@pytest.mark.parametrize(
    ("break_it", "rule"),
    [
        pytest.param(two_owners, "OWNER", id="two-owners"),
        pytest.param(low_token, "OWNER", id="token-not-above"),
        pytest.param(low_token_of_new_life, "OWNER", id="token-new-life"),
        pytest.param(runs_twice, "TWICE", id="twice"),
        pytest.param(refused_though_run, "REFUSED", id="refused-had-run"),
        pytest.param(runs_though_refused, "REFUSED", id="runs-later"),
        pytest.param(wrong_answer, "MIXED", id="answer-of-another"),
        pytest.param(sent_after_draining, "DRAIN", id="draining"),
        pytest.param(went_back, "CONFIG", id="version-back"),
        pytest.param(not_in_force, "CONFIG", id="version-late"),
        pytest.param(never_again, "RECOVER", id="not-served-again"),
    ],
)
def test_broken_promise_is_found(break_it, rule):
    promises = Promises()
    break_it(promises)
    (line,) = promises.broken
    assert rule in line


def test_kept_promises_are_not_reported():
    promises = Promises()
    grant(promises, "a/1")
    begin(promises, "a/1", key=5)
    promises.released("a/1", 0, 4, 0.5)
    grant(promises, "b/1", last=4, fence=2, now=0.6)
    begin(promises, "b/1", "r2", key=4, now=0.7)
    begin(promises, "a/1", "r3", key=5, now=0.7)
    grant(promises, "a/1", fence=1, now=0.8, counts=False)
    promises.answered("r2", 200, "r2", 0.8)
    promises.answered("r4", 503, "", 0.8)
    promises.version_seen("m1#1", 5, served=True, due=True, now=1.0)
    promises.version_seen("m1#2", 5, served=False, due=False, now=2.0)
    promises.reached_leaving("a/1", bound_s=2.0, after_s=1.9, now=9.0)
    assert promises.broken == []
