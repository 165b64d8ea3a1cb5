"""Marks the tests listed in KNOWN-RED.txt, and only those, xfail."""

from __future__ import annotations

from pathlib import Path

import pytest

_KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
_PREFIX = "test: "


def pytest_collection_modifyitems(items):
    """Mark the listed tests so that neither result fails the run."""
    lines = (
        _KNOWN_RED_FILE.read_text().splitlines()
        if _KNOWN_RED_FILE.exists()
        else []
    )
    known = {
        line.removeprefix(_PREFIX)
        for line in lines
        if line.startswith(_PREFIX)
    }
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            item.add_marker(mark)
