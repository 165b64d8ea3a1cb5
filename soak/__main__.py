"""Entry point of ``python -m soak``."""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from pathlib import Path

import uvloop

from soak.run import run_seed

_FAULTS_S = 20.0
_MACHINES = 6


def main() -> int:
    """Run the seeds; return 1 if any run violated a guarantee."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; else drawn")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument(
        "--seconds", type=float, default=_FAULTS_S, help="of faults a seed"
    )
    parser.add_argument(
        "--machines", type=int, default=_MACHINES, help="daemons at once"
    )
    parser.add_argument(
        "--crashing",
        action="store_true",
        help="send a request that crashes servers",
    )
    args = parser.parse_args()
    first = args.seed if args.seed is not None else random.randrange(10**6)
    failed = 0
    for seed in range(first, first + args.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = uvloop.run(
            run_seed(
                seed,
                seconds=args.seconds,
                size=args.machines,
                folder=folder,
                crashing=args.crashing,
            )
        )
        (folder / "faults.log").write_text("\n".join(result.faults) + "\n")
        (folder / "violations.log").write_text("\n".join(result.violations))
        print(
            f"seed {seed}: {len(result.violations)} broken, answers "
            f"{dict(sorted(result.statuses.items()))}, output in {folder}",
            flush=True,
        )
        for line in result.violations[:20]:
            print(f"  {line}", flush=True)
        failed += bool(result.violations)
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
