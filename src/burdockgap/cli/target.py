"""The command ``target``."""

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
    text = "drain a target or take it back"
    parser = commands.add_parser("target", help=text, description=text)
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    _register_action(actions, "drain", "send no new work", draining=True)
    _register_action(actions, "undrain", "send work again", draining=False)


def _register_action(
    actions: Subparsers, name: str, text: str, *, draining: bool
) -> None:
    """Register one of the two actions."""
    parser = actions.add_parser(name, help=text, description=text)
    parser.add_argument(
        "name", metavar="NAME", help="name of the daemon beside the target"
    )
    add_change_options(parser)
    parser.set_defaults(command=_run, draining=draining)


def _run(args: argparse.Namespace) -> int:
    """Send the change."""
    path = f"/v1/targets/{quote(args.name, safe='')}"
    return send_change(args, path, draining=args.draining)
