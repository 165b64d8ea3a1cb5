from __future__ import annotations

import re
import shlex
from pathlib import Path

import pytest

from burdockgap.cli.parser import make_parser
from burdockgap.http import headers, statuses
from burdockgap.target import http_headers
from burdockgap.verdict import Reason

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PAGES = [ROOT / "README.md", *sorted(DOCS.glob("*.md"))]
LINK = re.compile(r"\]\(([^)#:]+)\)")
METRIC = re.compile(r"`(burdockgap_\w+)`")
COMMAND = re.compile(r"^    burdockgap (.+?)(?:  +#.*| > .*)?$", re.MULTILINE)


def _commands():
    text = (DOCS / "OPERATIONS.md").read_text()
    return sorted(set(COMMAND.findall(text)))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page):
    links = LINK.findall(page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []


def test_metrics_of_operations_exist():
    pages = ("metrics.md", "metrics-sidecar.md")
    listed = {
        name
        for page in pages
        for name in METRIC.findall((DOCS / page).read_text())
    }
    named = set(METRIC.findall((DOCS / "OPERATIONS.md").read_text()))
    assert len(named) > 10
    assert named - listed == set()


@pytest.mark.parametrize("command", _commands())
def test_commands_of_operations_parse(command):
    argv = shlex.split(command.replace("VERSION", "1"))
    assert make_parser().parse_args(argv).command


def test_packages_are_listed():
    text = (DOCS / "developers.md").read_text()
    for init in (ROOT / "src" / "burdockgap").glob("*/__init__.py"):
        first = init.read_text().splitlines()[0].strip('"').replace("``", "`")
        assert f"| `burdockgap.{init.parent.name}` | {first} |" in text


@pytest.mark.parametrize(
    ("page", "module", "names"),
    [
        (
            "callers.md",
            headers,
            [name for name in vars(headers) if name.isupper()],
        ),
        (
            "targets.md",
            http_headers,
            ["REQUEST_ID", "KEY", "UNIT", "EPOCH", "NOT_RUN", "DETAIL"],
        ),
    ],
    ids=["callers", "targets"],
)
def test_headers_are_listed(page, module, names):
    text = (DOCS / page).read_text().lower()
    for name in names:
        header = getattr(module, name)
        if isinstance(header, str):
            assert f"`{header.lower()}" in text


def test_reasons_with_a_status_of_their_own_are_listed():
    text = (DOCS / "callers.md").read_text()
    for reason, status in statuses._BY_REASON.items():
        rows = [
            line
            for line in text.splitlines()
            if line.startswith(f"| {status}")
        ]
        assert any(f"`{reason.value}`" in row for row in rows), reason
    assert Reason.DEADLINE.value in text
