"""The command ``daemon``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure
from burdockgap.cli.settings_file import read_settings
from burdockgap.settings.bind_error import BindError

if TYPE_CHECKING:
    import argparse

    from burdockgap.cli.types import Subparsers


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "run the daemon beside a target"
    parser = commands.add_parser("daemon", help=text, description=text)
    parser.add_argument(
        "--settings", metavar="FILE", required=True, help="settings file"
    )
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Load the settings, set up the logger and run the daemon."""
    settings = read_settings(args.settings)
    # Imported here so that other commands don't load its libraries.
    from burdockgap.daemon.serve import run_daemon
    from burdockgap.logs import set_up_logs

    set_up_logs(settings.logging)
    try:
        code: int = run_daemon(settings)
    except BindError as exc:
        raise CliFailure(ExitCode.BAD_INPUT, str(exc)) from exc
    return code
