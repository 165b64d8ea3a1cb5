"""
Runs measurements: ``python -m measure``.

Without a subcommand, runs all of them.
"""

from __future__ import annotations

import argparse

import anyio

from measure.baseline import measure_baseline
from measure.binary import measure_binary
from measure.control import STEPS, measure_control
from measure.datapath import measure_datapath
from measure.decisions import measure_decisions
from measure.placement import measure_placement
from measure.recorder import Recorder
from measure.sidecar import measure_sidecar
from measure.slopes import fit_slopes
from measure.table_sizes import measure_table_sizes

_SIZES = (4, 8, 16, 32, 64)
_SLICES = 1024
_SEED = 1


def main() -> None:
    """Run the measurement that the command line names, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=_SEED)
    subparsers = parser.add_subparsers(dest="part")
    control = subparsers.add_parser(
        "control", help="cost of control, with real daemons"
    )
    control.add_argument("--daemons", type=int, nargs="+", default=_SIZES)
    control.add_argument("--slices", type=int, nargs="+", default=[_SLICES])
    control.add_argument("--steps", nargs="+", default=STEPS, choices=STEPS)
    subparsers.add_parser(
        "baseline", help="memory of the interpreter and of imports"
    )
    subparsers.add_parser(
        "path", help="throughput and latency, local and forwarded"
    )
    subparsers.add_parser(
        "sidecar", help="processor time of requests through sidecars"
    )
    subparsers.add_parser("slopes", help="fit and plot the recorded results")
    subparsers.add_parser(
        "decisions", help="time of the coordinator's decisions"
    )
    subparsers.add_parser(
        "table", help="memory and time of the fold and routing table"
    )
    subparsers.add_parser(
        "binary", help="source tree compared with the single-file program"
    )
    subparsers.add_parser(
        "placement", help="old against new choice of servers, simulated"
    )
    args = parser.parse_args()
    if args.part in (None, "baseline"):
        measure_baseline(Recorder("baseline", args.seed))
    if args.part in (None, "binary"):
        measure_binary(Recorder("binary", args.seed))
    if args.part in (None, "table"):
        measure_table_sizes(args.seed)
    if args.part in (None, "decisions"):
        measure_decisions(Recorder("decisions", args.seed), args.seed)
    if args.part in (None, "path", "placement", "sidecar"):
        anyio.run(_run_requests, args)
    if args.part in (None, "control"):
        _run_control(args)
    if args.part in (None, "slopes"):
        fit_slopes(args.seed)


def _run_control(args: argparse.Namespace) -> None:
    recorder = Recorder("control", args.seed)
    for daemons in getattr(args, "daemons", _SIZES):
        for slices in getattr(args, "slices", [_SLICES]):
            anyio.run(_run_control_at_size, recorder, daemons, slices, args)


async def _run_requests(args: argparse.Namespace) -> None:
    if args.part in (None, "path"):
        await measure_datapath(Recorder("path", args.seed), seed=args.seed)
    if args.part in (None, "sidecar"):
        await measure_sidecar(Recorder("sidecar", args.seed))
    if args.part in (None, "placement"):
        await measure_placement(args.seed)


async def _run_control_at_size(
    recorder: Recorder, daemons: int, slices: int, args: argparse.Namespace
) -> None:
    await measure_control(
        recorder,
        daemons=daemons,
        slices=slices,
        steps=list(getattr(args, "steps", STEPS)),
        seed=args.seed,
    )


if __name__ == "__main__":
    main()
