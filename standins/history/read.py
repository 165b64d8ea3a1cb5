"""Reads the files in which targets record their runs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from standins.history.run_record import RunRecord, from_json

if TYPE_CHECKING:
    from pathlib import Path


def read_runs(path: Path, *, target: str, service: str) -> list[RunRecord]:
    """
    Return the runs in a target's file, each from its latest line.

    A last line that is incomplete since the process ended while writing
    it is skipped.

    :param path: the file; a missing file is read as an empty one.
    :param target: the target's name.
    :param service: its service.
    """
    if not path.exists():
        return []
    runs: dict[tuple[str, float], RunRecord] = {}
    for line in path.read_text().splitlines(keepends=True):
        if line.endswith("\n"):
            run = from_json(json.loads(line), target=target, service=service)
            runs[(run.request_id, run.started)] = run
    return list(runs.values())
