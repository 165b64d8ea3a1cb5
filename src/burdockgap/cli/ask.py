"""What all commands that show state share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode

if TYPE_CHECKING:
    import argparse


def ask(args: argparse.Namespace, path: str, **params: str) -> int:
    """
    Ask a daemon and print its answer.

    :param args: the parsed command line.
    :param path: path of the administration API.
    :param params: query parameters.
    :raises CliFailure: if there is no good answer.
    """
    # Imported here, since commands without a daemon need no client.
    from burdockgap.cli.admin_client import AdminClient
    from burdockgap.cli.output import show_json, show_text

    answer = AdminClient(args).get(path, **params)
    if args.json:
        show_json(answer)
    else:
        show_text(answer)
    return ExitCode.OK
