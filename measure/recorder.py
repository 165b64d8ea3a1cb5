"""Writes and reads measurement results as JSON lines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import burdockgap

ROOT = Path(__file__).resolve().parents[1]
RESULTS_FOLDER = ROOT / "docs" / "measurements"
_LOOP_ITERATIONS = 200_000


class Recorder:
    """
    Appends the results of one run to a file.

    Each line has the version, command, seed and load average;
    ``loop_ms`` is the processor time of a fixed loop, which grows while
    other work shares the processors.

    :param name: name of the file without its extension.
    :param seed: seed of the run's random choices.
    :raises RuntimeError: if ``burdockgap`` is imported from outside
        this checkout.
    """

    __slots__ = ("_path", "_seed", "_version")

    def __init__(self, name: str, seed: int) -> None:
        if not Path(burdockgap.__file__).is_relative_to(ROOT):
            raise RuntimeError(
                "burdockgap is imported from outside this checkout; "
                "set PYTHONPATH to the checkout's src folder"
            )
        RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
        self._path = RESULTS_FOLDER / f"{name}.jsonl"
        self._seed = seed
        self._version = _version()

    def add(self, step: str, **values: Any) -> None:
        """
        Append one result and print it.

        :param step: name of what was measured.
        :param values: sizes of the run and measured figures.
        """
        line = {
            "step": step,
            **{name: _rounded(value) for name, value in values.items()},
            "version": self._version,
            "command": " ".join(["python -m", _program(), *sys.argv[1:]]),
            "seed": self._seed,
            "load1": round(os.getloadavg()[0], 1),
            "loop_ms": round(_loop_ms(), 2),
            "at": time.strftime("%Y-%m-%dT%H:%M:%S"),
        }
        with self._path.open("a") as file:
            file.write(json.dumps(line) + "\n")
        print(json.dumps(line), flush=True)


def read_results(name: str, step: str) -> list[dict[str, Any]]:
    """
    Return a step's results, of every version in the file.

    Returns no results if the file doesn't exist.
    """
    path = RESULTS_FOLDER / f"{name}.jsonl"
    if not path.exists():
        return []
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [line for line in lines if line["step"] == step]


def _program() -> str:
    """Return the dotted name of the package that was started."""
    folder = Path(sys.argv[0]).resolve().parent
    return ".".join(folder.relative_to(ROOT).parts)


def _rounded(value: Any) -> Any:
    return float(f"{value:.5g}") if isinstance(value, float) else value


def _loop_ms() -> float:
    """Return the shortest processor time of three loop runs."""
    times = []
    for _ in range(3):
        started = time.process_time()
        sum(index * index for index in range(_LOOP_ITERATIONS))
        times.append(time.process_time() - started)
    return 1000 * min(times)


def _version() -> str:
    """Return the commit, with ``-dirty`` if src or standins differ."""
    revision = _git("rev-parse", "--short=10", "HEAD")
    changed = _git("status", "--porcelain", "--", "src", "standins")
    return revision + ("-dirty" if changed else "")


def _git(*args: str) -> str:
    completed = subprocess.run(
        ["git", *args], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return completed.stdout.strip()
