"""
Every scenario file passes, and those of mutants fail as expected.

A file of a mutant names in its ``# fails:`` line a pattern that the
error must match.
"""

from __future__ import annotations

import re
from pathlib import Path

import anyio
import pytest
from loguru import logger

from standins.scenario.runner import run_scenario
from standins.scenario.scenario_error import ScenarioError

_FOLDER = Path(__file__).parent
_FILES = sorted(_FOLDER.glob("*.scn"))
_MUTANTS = sorted((_FOLDER / "mutants").glob("*.scn"))


def _case(path):
    slow = path.read_text().startswith("# slow")
    marks = [pytest.mark.slow] if slow else []
    return pytest.param(path, id=path.stem, marks=marks)


@pytest.mark.parametrize("path", [_case(path) for path in _FILES])
def test_scenario(path):
    logger.remove()
    anyio.run(run_scenario, path, print)


@pytest.mark.parametrize("path", [_case(path) for path in _MUTANTS])
def test_seeded_fault_is_found(path):
    logger.remove()
    pattern = re.search("^# fails: (.+)$", path.read_text(), re.MULTILINE)
    with pytest.raises(ScenarioError, match=pattern[1]):
        anyio.run(run_scenario, path, print)
