"""Tests of the command ``explain``."""

from __future__ import annotations

import json

import pytest

from burdockgap.cli.exit_code import ExitCode
from burdockgap.run import main

LINES = [
    {"at": 2.5, "node": "m1", "event": "request", "id": "r1", "status": 503},
    {"at": 2.2, "node": "m2", "event": "gate", "id": "r1", "reason": "shed"},
    {"at": 2.3, "node": "m2", "event": "request", "id": "r1.c2"},
    {"at": 2.4, "node": "m3", "event": "gate", "id": "r11"},
    {
        "at": 2.6,
        "node": "m2",
        "event": "target_crashed",
        "in_flight_ids": ["r1"],
    },
]


def write(tmp_path, lines):
    path = tmp_path / "log"
    path.write_text("".join(f"12.5 host {line}\n" for line in lines))
    return str(path)


def test_explain_lines_in_order_of_time(tmp_path, capsys):
    lines = [json.dumps(line) for line in LINES]
    path = write(tmp_path, [*lines, '{"id": "r1", cut', "no json r1"])
    assert main(["explain", "r1", path]) == ExitCode.OK
    printed = capsys.readouterr().out.splitlines()
    events = [line.split()[2:4] for line in printed]
    assert events == [
        ["m2", "gate"],
        ["m2", "request"],
        ["m1", "request"],
        ["m2", "target_crashed"],
    ]
    assert 'reason="shed"' in printed[0]
    assert printed[2].split()[0] == "+300.0"


@pytest.mark.parametrize(
    "files",
    [pytest.param([], id="empty"), pytest.param(["nowhere"], id="no-file")],
)
def test_explain_nothing_found_says_where_to_look(tmp_path, capsys, files):
    files = files or [write(tmp_path, [])]
    assert main(["explain", "r1", *files]) == ExitCode.BAD_INPUT
    assert capsys.readouterr().err
