"""The command ``check``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.settings_file import read_settings

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "report every problem of a settings file"
    parser = commands.add_parser("check", help=text, description=text)
    parser.add_argument("file", metavar="FILE", help="settings file")
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Check the file."""
    read_settings(args.file)
    print(f"{args.file}: no problems")
    return ExitCode.OK
