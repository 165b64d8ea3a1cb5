"""The command ``settings``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode
from burdockgap.settings.render_reference import render_reference

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "describe the settings"
    parser = commands.add_parser("settings", help=text, description=text)
    parser.add_argument(
        "--reference",
        action="store_true",
        required=True,
        help="print a settings file with every option explained",
    )
    parser.set_defaults(command=_run)


def _run(_args: argparse.Namespace) -> int:
    """Print the reference."""
    print(render_reference(), end="")
    return ExitCode.OK
