"""Passes over the tests that KNOWN-RED.txt lists, and only those."""

from __future__ import annotations

from pathlib import Path

import pytest

_LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
_PREFIX = "test: "


def pytest_collection_modifyitems(items):
    """Let the listed tests run without deciding on the result."""
    lines = _LIST.read_text().splitlines() if _LIST.exists() else []
    known = {
        line.removeprefix(_PREFIX)
        for line in lines
        if line.startswith(_PREFIX)
    }
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            item.add_marker(mark)
