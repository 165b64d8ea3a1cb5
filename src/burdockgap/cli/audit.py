"""The command ``audit``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.operator_options import add_operator_options
from burdockgap.cli.query_daemon import query_daemon

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers

_DEFAULT_LIMIT = 20


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "show the newest changes, accepted and rejected"
    parser = commands.add_parser("audit", help=text, description=text)
    parser.add_argument(
        "--limit",
        metavar="N",
        type=int,
        default=_DEFAULT_LIMIT,
        help="largest number of changes (default: %(default)s)",
    )
    add_operator_options(parser)
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Show the changes."""
    return query_daemon(args, "/v1/audit", limit=str(args.limit))
