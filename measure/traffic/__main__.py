"""Measures the traffic policy: ``python -m measure.traffic``."""

from __future__ import annotations

import argparse

import anyio

from measure.recorder import Recorder
from measure.traffic.cold import measure_cold
from measure.traffic.data_centre import measure_data_centre
from measure.traffic.overload import measure_overload
from measure.traffic.path import measure_path
from measure.traffic.stragglers import measure_stragglers

_STEPS = {
    "stragglers": measure_stragglers,
    "overload": measure_overload,
    "data-centre": measure_data_centre,
    "cold": measure_cold,
    "path": measure_path,
}


def main() -> None:
    """Run the steps that the command line names, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--out",
        default="traffic",
        help="name of the results file without its extension",
    )
    parser.add_argument("steps", nargs="*", default=list(_STEPS))
    args = parser.parse_args()
    recorder = Recorder(args.out, args.seed)
    for step in args.steps:
        anyio.run(_STEPS[step], recorder, args.seed)


if __name__ == "__main__":
    main()
