"""Every scenario file passes."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest
from loguru import logger

from standins.scenario.runner import run_scenario

_FILES = sorted(Path(__file__).parent.glob("*.scn"))


def _case(path):
    slow = path.read_text().startswith("# slow")
    marks = [pytest.mark.slow] if slow else []
    return pytest.param(path, id=path.stem, marks=marks)


@pytest.mark.parametrize("path", [_case(path) for path in _FILES])
def test_scenario(path):
    logger.remove()
    anyio.run(run_scenario, path, print)
