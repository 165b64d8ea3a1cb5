"""Parses scenario files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import standins.scenario.statements  # noqa: F401  (defines the statements)
from standins.scenario.scenario_error import ScenarioError
from standins.scenario.statement import Statement
from standins.scenario.statement_definition import STATEMENT_DEFINITIONS

if TYPE_CHECKING:
    from pathlib import Path


def parse(path: Path) -> list[Statement]:
    """
    Return the statements of a scenario file.

    :raises ScenarioError: if a line matches no statement definition.
    """
    statements = []
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        text = line.partition("#")[0].strip()
        if text:
            statements.append(_parse_line(path, number, text))
    return statements


def _parse_line(path: Path, number: int, text: str) -> Statement:
    for definition in STATEMENT_DEFINITIONS:
        arguments = definition.match(text)
        if arguments is not None:
            return Statement(
                line=number,
                text=text,
                definition=definition,
                arguments=arguments,
            )
    raise ScenarioError(
        str(path),
        number,
        f"{text!r} is not a statement; docs/scenarios.md lists all of them",
    )
