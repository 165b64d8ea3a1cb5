"""Tests of the revisions that members need for their leases."""

from __future__ import annotations

import pytest

from burdockgap.shards.lease import MAX_LAG_S
from burdockgap.shards.required_revisions import RequiredRevisions
from tests.shards.builders import make_report
from tests.shards.test_coordinator import NAMES, CoordinatorHarness


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def required():
    """Revisions after the first reports of ``a`` and ``b``."""
    required = RequiredRevisions()
    for name in ("a", "b"):
        assert required.of(make_report(name), 5, 0.0) == 5
    return required


def test_member_needs_no_revision_that_takes_nothing_from_it(required):
    required.note_revision(6, {"b"}, 0.0)
    assert required.of(make_report("a"), 6, 0.1) == 5


# OWNER: the member may still hold a range that the new revision names
# as free.
def test_dropped_holder_needs_the_revision_that_drops_it(required):
    required.note_revision(6, {"b"}, 0.0)
    required.note_revision(7, set(), 0.1)
    assert required.of(make_report("b"), 7, 0.2) == 6


# OWNER: a new process may start from an older copy of the assignment
# and remembers no release.
def test_new_process_needs_the_newest_revision(required):
    required.note_revision(6, set(), 0.0)
    report = make_report("a", incarnation=9)
    assert required.of(report, 6, 0.1) == 6
    required.note_revision(7, set(), 0.2)
    assert required.of(report, 7, 0.3) == 6


def test_lag_is_bounded(required):
    required.note_revision(6, set(), 0.0)
    required.note_revision(7, set(), 2.0)
    assert required.of(make_report("a"), 7, MAX_LAG_S) == 5
    assert required.of(make_report("a"), 7, MAX_LAG_S + 0.1) == 6


@pytest.mark.anyio
async def test_coordinator_requires_the_revision_that_reassigns_a_range():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    assigned = harness.view.state.revision
    harness.born["c"] = 7
    await harness.advance(0.3, *NAMES)
    assert harness.view.state.revision > assigned
    needed = {}
    for name in NAMES:
        harness.report(name)
        _address, _kind, lease = harness.datagrams.sent[-1]
        _incarnation, _term, _newest, needed[name], *_times = lease
    assert needed["a"] <= assigned
    assert needed["c"] > assigned
