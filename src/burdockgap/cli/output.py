"""Printing of answers of the administration API."""

from __future__ import annotations

import json
from typing import Any


def show_json(answer: Any) -> None:
    """Print an answer as JSON."""
    print(json.dumps(answer, indent=2, ensure_ascii=False))


def show_text(answer: dict[str, Any]) -> None:
    """
    Print an answer as text: plain members first, then the lists.

    No field names are built in, so that fields added by later
    versions of the API are printed, too.
    """
    for name, value in answer.items():
        if not isinstance(value, list):
            print(f"{name}: {_cell(value)}")
    for name, value in answer.items():
        if isinstance(value, list):
            print(f"{name}:")
            _show_table(value)


def _show_table(rows: list[Any]) -> None:
    """Print objects as a table with their members as columns."""
    if not rows:
        print("  none")
        return
    names = list(rows[0])
    cells = [names] + [[_cell(row.get(n)) for n in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = zip(line, widths, strict=True)
        text = "  ".join(cell.ljust(width) for cell, width in padded)
        print(f"  {text}".rstrip())


def _cell(value: Any) -> str:
    """Format a value on one line."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ", ".join(f"{k} {_cell(v)}" for k, v in value.items())
    return str(value)
