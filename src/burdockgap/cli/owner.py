"""The command ``owner``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.operator_options import add_operator_options
from burdockgap.cli.query_daemon import query_daemon

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "show who owns a key"
    parser = commands.add_parser("owner", help=text, description=text)
    parser.add_argument("service", metavar="SERVICE", help="keyed service")
    parser.add_argument("key", metavar="KEY", help="the key")
    add_operator_options(parser)
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Show the owner."""
    return query_daemon(args, "/v1/owner", service=args.service, key=args.key)
