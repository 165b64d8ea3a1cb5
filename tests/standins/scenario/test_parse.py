"""Scenario files are parsed, or rejected with file and line."""

from __future__ import annotations

import pytest

from standins.scenario.parse import parse
from standins.scenario.scenario_error import ScenarioError


def test_parse_error_names_file_and_line(tmp_path):
    path = tmp_path / "bad.scn"
    path.write_text("# fine\nstart\n\nkill everything\n")
    with pytest.raises(ScenarioError, match=r"bad\.scn:4: .*everything"):
        parse(path)


@pytest.mark.parametrize(
    ("line", "arguments"),
    [
        (
            "servers records 5 in dc1 dc2 slots 6 target --ignores-grants",
            {
                "service": "records",
                "count": "5",
                "places": "dc1 dc2",
                "region": None,
                "slots": "6",
                "options": "--ignores-grants",
            },
        ),
        (
            "kill  server owner of pump-1, coordinator  # both",
            {"part": "server", "references": "owner of pump-1, coordinator"},
        ),
        (
            "load keyed records keys 60 rate 80 idempotent via any",
            {
                "service": "records",
                "keys": "60",
                "rate": "80",
                "idempotent": "idempotent",
                "via": "any",
            },
        ),
        ("start", {}),
        ("start records-1", {"references": "records-1"}),
    ],
)
def test_parse_extracts_arguments(tmp_path, line, arguments):
    path = tmp_path / "good.scn"
    path.write_text(line)
    (statement,) = parse(path)
    assert statement.arguments == arguments
