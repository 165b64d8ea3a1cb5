"""Calls between daemons."""

from __future__ import annotations

import pytest

from burdockgap.forward.call import Call
from burdockgap.forward.outcome import Outcome
from burdockgap.http1.response import Response
from burdockgap.verdict import Verdict
from tests.forward.builders import make_call


def test_call_is_decoded_as_it_was_encoded():
    call = make_call(route="book", nested=True, objective_s=0.25, key=7)
    got = Call.decode(call.encode())
    assert got.encode() == call.encode()
    assert (got.route, got.nested, got.objective_s) == ("book", True, 0.25)


# QUEUE: time spent on the way counts against the objective, too; an
# objective that has passed stays passed.
def test_transit_time_is_deducted():
    call = make_call(deadline_s=1.0, patience_s=0.1, objective_s=0.2)
    call.shorten(0.3)
    assert call.deadline_s == pytest.approx(0.7)
    assert call.patience_s == 0.0
    assert call.objective_s == pytest.approx(-0.1)


# MIXED: a daemon of an earlier version passes on what its server sent.
@pytest.mark.parametrize("status", [0, 99, 101, 600, -1, "200"])
def test_outcome_without_a_valid_status_is_refused(status):
    outcome = Outcome(Verdict.RAN, response=Response(status, [], b""))
    with pytest.raises(ValueError, match="status"):
        Outcome.decode(outcome.encode())
