"""The command ``data-centre``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from burdockgap.cli.change import send_change
from burdockgap.cli.operator_options import add_change_options

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parsers."""
    text = "take a data centre out of service or back in"
    parser = commands.add_parser("data-centre", help=text, description=text)
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    _register_action(actions, "out", "take out of service", out=True)
    _register_action(actions, "in", "take back into service", out=False)


def _register_action(
    actions: Subparsers, name: str, text: str, *, out: bool
) -> None:
    """Register one of the two actions."""
    parser = actions.add_parser(name, help=text, description=text)
    parser.add_argument("name", metavar="NAME", help="the data centre")
    add_change_options(parser)
    parser.set_defaults(command=_run, out=out)


def _run(args: argparse.Namespace) -> int:
    """Send the change."""
    path = f"/v1/data-centres/{quote(args.name, safe='')}"
    return send_change(args, path, out=args.out)
