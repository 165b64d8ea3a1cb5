"""The command ``sidecar``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure
from burdockgap.platform.settings import SETTINGS_VARIABLE, read_settings

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "run the daemon beside a server of the users' platform"
    parser = commands.add_parser("sidecar", help=text, description=text)
    parser.add_argument(
        "--settings",
        metavar="FILE",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"the platform's settings file; default: ${SETTINGS_VARIABLE}",
    )
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Read the settings and run the daemon."""
    if args.settings is None:
        raise CliFailure(
            ExitCode.BAD_INPUT,
            f"name a settings file by --settings or ${SETTINGS_VARIABLE}",
        )
    try:
        cfg = read_settings(Path(args.settings))
    except (OSError, ValueError) as exc:
        raise CliFailure(
            ExitCode.BAD_INPUT, f"{args.settings}: {exc}"
        ) from exc
    # Imported here so that other commands don't load its libraries.
    from burdockgap.sidecar.run import run_sidecar

    return run_sidecar(cfg)
