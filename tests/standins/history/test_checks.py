"""Each check reports the violations that it is meant to find."""

from __future__ import annotations

import json

import pytest

from standins.history import checks
from standins.history.accepted import find_lost_changes
from standins.history.read import read_runs
from standins.history.request_outcome import RequestOutcome
from standins.history.run_record import RunRecord


def make_run(target, started, ended, *, epoch=2, **fields):
    defaults = {
        "service": "records",
        "request_id": f"{target}-{started}",
        "key": "pump-1",
        "unit": 7,
        "took_effect": True,
    }
    return RunRecord(
        target=target,
        started=started,
        ended=ended,
        epoch=epoch,
        **{**defaults, **fields},
    )


def make_outcome(request_id, **fields):
    defaults = {
        "key": "pump-1",
        "idempotent": False,
        "sent": 0.0,
        "answered": 1.0,
        "verdict": "ran",
        "status": 200,
        "echo": request_id,
        "whole": True,
    }
    return RequestOutcome(request_id=request_id, **{**defaults, **fields})


GOOD = [make_run("a", 1, 2), make_run("b", 3, 4, epoch=3)]


def test_ownership_check_accepts_a_handover():
    assert checks.find_ownership_conflicts(GOOD) == []


@pytest.mark.parametrize(
    "runs",
    [
        pytest.param(
            [make_run("b", 1, 2, epoch=3), make_run("a", 3, 4)],
            id="lower epoch later",
        ),
        pytest.param(
            [make_run("a", 1, 3), make_run("b", 2, 4, epoch=3)],
            id="overlap",
        ),
        pytest.param(
            [make_run("a", 1, 9), make_run("a", 2, 3), make_run("b", 4, 5)],
            id="overlap with a long run",
        ),
        pytest.param(
            [make_run("a", 1, 3), make_run("b", 2, 4, unit=8)],
            id="one key in two units",
        ),
    ],
)
def test_ownership_check_finds_conflicts(runs):
    assert checks.find_ownership_conflicts(runs)


def test_ownership_check_ignores_a_frozen_run_without_effect():
    frozen = make_run("a", 1, 9, took_effect=False)
    assert (
        checks.find_ownership_conflicts([frozen, make_run("b", 4, 5, epoch=3)])
        == []
    )


def test_find_duplicate_runs_finds_a_second_run():
    runs = [make_run("a", 1, 2, request_id="r"), make_run("b", 3, 4)]
    assert checks.find_duplicate_runs(runs, [make_outcome("r")]) == []
    runs.append(make_run("b", 5, 6, request_id="r"))
    assert checks.find_duplicate_runs(runs, [make_outcome("r")])
    assert (
        checks.find_duplicate_runs(runs, [make_outcome("r", idempotent=True)])
        == []
    )


def test_find_duplicate_runs_counts_runs_without_a_recorded_end():
    refused = make_run("a", 1, 2, request_id="r", took_effect=False)
    killed = make_run("a", 1, None, request_id="r", took_effect=False)
    again = make_run("b", 3, 4, request_id="r")
    assert (
        checks.find_duplicate_runs([refused, again], [make_outcome("r")]) == []
    )
    assert checks.find_duplicate_runs([killed, again], [make_outcome("r")])


def test_find_false_not_run_finds_an_effect():
    told = [make_outcome("r", verdict="not-run", status=503)]
    run = make_run("a", 1, 2, request_id="r")
    assert checks.find_false_not_run([run], told)
    assert checks.find_false_not_run(GOOD, told) == []


@pytest.mark.parametrize(
    "told",
    [
        pytest.param(make_outcome("r", echo="other"), id="another's answer"),
        pytest.param(make_outcome("r", whole=False), id="part of an answer"),
        pytest.param(make_outcome("unknown"), id="no run behind it"),
    ],
)
def test_find_bad_answers_finds_wrong_answers(told):
    run = make_run("a", 1, 2, request_id="r")
    assert checks.find_bad_answers([run], [make_outcome("r")]) == []
    assert checks.find_bad_answers([run], [told])


@pytest.mark.parametrize(
    ("told", "audited", "current"),
    [
        pytest.param([1, 2], [1, 2], 1, id="went back"),
        pytest.param([1, 2], [1], 2, id="not recorded"),
        pytest.param([1, 2, 2], [1, 2], 2, id="two winners"),
        pytest.param([1, 2], [1, 2, 2], 2, id="applied twice"),
    ],
)
def test_find_lost_changes_finds_violations(told, audited, current):
    assert find_lost_changes([1, 2], [1, 2, 3], 3) == []
    assert find_lost_changes(told, audited, current)


def test_read_runs_uses_the_last_complete_line_of_each_run(tmp_path):
    fields = {
        "request_id": "r",
        "key": "pump-1",
        "unit": 7,
        "epoch": 2,
        "started": 1.0,
        "ended": None,
        "took_effect": False,
    }
    start = json.dumps(fields)
    end = json.dumps({**fields, "ended": 2.0, "took_effect": True})
    path = tmp_path / "history.jsonl"
    path.write_text(f"{start}\n{end}\n{start[:20]}")
    (run,) = read_runs(path, target="a", service="records")
    assert run.ended == 2.0
    assert run.took_effect
    assert read_runs(tmp_path / "none", target="a", service="records") == []
