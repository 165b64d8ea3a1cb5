"""``python -m standins.scenario FILE...`` runs scenarios."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

import anyio
from loguru import logger

from standins.scenario.runner import run_scenario
from standins.scenario.scenario_error import ScenarioError


def main() -> int:
    """
    Run each scenario file given on the command line.

    :return: 0 if all of them passed, else 1.
    """
    parser = argparse.ArgumentParser(prog="standins.scenario")
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--quiet", action="store_true")
    parser.add_argument(
        "--outputs", type=Path, help="folder for the processes' outputs"
    )
    args = parser.parse_args()
    logger.remove()
    failed = 0
    for path in args.files:
        failed += not _passes(path, args.outputs, quiet=args.quiet)
    return 1 if failed else 0


def _passes(path: Path, outputs: Path | None, *, quiet: bool) -> bool:
    started = time.monotonic()
    try:
        anyio.run(
            run_scenario, path, _discard_progress if quiet else print, outputs
        )
    except ScenarioError as exc:
        print(f"FAILED {exc}", file=sys.stderr)
        return False
    print(f"passed {path} in {time.monotonic() - started:.1f} s")
    return True


def _discard_progress(_: str) -> None:
    pass


if __name__ == "__main__":
    sys.exit(main())
