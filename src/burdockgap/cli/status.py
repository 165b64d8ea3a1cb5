"""The command ``status``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.operator_options import add_operator_options
from burdockgap.cli.query_daemon import query_daemon

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "show the state of a daemon and of the system"
    parser = commands.add_parser("status", help=text, description=text)
    add_operator_options(parser)
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Show the state."""
    return query_daemon(args, "/v1/status")
