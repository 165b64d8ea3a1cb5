"""The command ``session``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from burdockgap.cli.change import send_change
from burdockgap.cli.operator_options import add_change_options

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers

_END_TEXT = (
    "State that a session's process has stopped for good. Its units pass "
    "on at once: make sure that the process and its target don't run."
)


def register(commands: Subparsers) -> None:
    """Register the command's parsers."""
    text = "end a session that cannot end by itself"
    parser = commands.add_parser("session", help=text, description=text)
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    end = actions.add_parser("end", help=text, description=_END_TEXT)
    end.add_argument("id", metavar="ID", help="session id from the status")
    add_change_options(end)
    end.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Send the change."""
    return send_change(args, f"/v1/sessions/{quote(args.id, safe='')}/end")
