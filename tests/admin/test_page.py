from __future__ import annotations

import re
from pathlib import Path

from burdockgap.admin.change_handlers import STATUS_CODES
from burdockgap.admin.routes import make_routes
from burdockgap.cli.exit_code import ExitCode
from burdockgap.metrics import Metrics
from tests.admin.fake_backend import FakeBackend

PAGE = (Path(__file__).parents[2] / "docs/administration.md").read_text()


def test_page_lists_exit_codes():
    rows = re.findall(r"^\| (\d) \| `(\w+)` \|", PAGE, re.MULTILINE)
    assert rows == [(str(int(code)), code.name) for code in ExitCode]


def test_page_lists_routes():
    rows = re.findall(r"^\| `(GET|POST) (\S+)` \|", PAGE, re.MULTILINE)
    assert len(rows) == len(make_routes(FakeBackend(), Metrics()))
    for route in make_routes(FakeBackend(), Metrics()):
        assert any(
            route.method == method and route.match(path) is not None
            for method, path in rows
        )


def test_page_lists_verdicts():
    rows = re.findall(r"^\| (\d{3}) \| `([\w-]+)` \|", PAGE, re.MULTILINE)
    assert rows == [
        (str(code), verdict.value)
        for verdict, code in sorted(STATUS_CODES.items(), key=lambda i: i[1])
    ]
