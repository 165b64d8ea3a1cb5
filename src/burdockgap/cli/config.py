"""The command ``config``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from burdockgap.cli.change import send_change
from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure
from burdockgap.cli.operator_options import (
    add_change_options,
    add_operator_options,
)

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parsers."""
    text = "show or publish the configuration document"
    parser = commands.add_parser("config", help=text, description=text)
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    _register_publish(actions)
    _register_show(actions)


def _register_publish(actions: Subparsers) -> None:
    """Register ``config publish``."""
    text = "replace the document"
    parser = actions.add_parser("publish", help=text, description=text)
    parser.add_argument("file", metavar="FILE", help="TOML document")
    add_change_options(parser, against_required=True)
    parser.set_defaults(command=_publish)


def _register_show(actions: Subparsers) -> None:
    """Register ``config show``."""
    text = "print the document in force after a comment with its version"
    parser = actions.add_parser("show", help=text, description=text)
    add_operator_options(parser)
    parser.set_defaults(command=_show)


def _publish(args: argparse.Namespace) -> int:
    """Publish a document."""
    try:
        document = Path(args.file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise CliFailure(
            ExitCode.BAD_INPUT, f"{args.file} cannot be read: {exc}"
        ) from exc
    return send_change(args, "/v1/config", document=document)


def _show(args: argparse.Namespace) -> int:
    """Print the document."""
    # Imported here since commands that call no daemon need no httpx.
    from burdockgap.cli.admin_client import AdminClient
    from burdockgap.cli.output import show_json

    answer = AdminClient(args).get("/v1/config")
    if args.json:
        show_json(answer)
    else:
        print(f"# version {answer.get('version')}")
        print(answer.get("document", "").rstrip("\n"))
    return ExitCode.OK
