"""The common part of all commands that show state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode

if TYPE_CHECKING:
    import argparse


def query_daemon(args: argparse.Namespace, path: str, **params: str) -> int:
    """
    Send a GET request to a daemon and print its answer.

    :param args: the parsed command line.
    :param path: path of the administration API.
    :param params: query parameters.
    :raises CliFailure: if there is no answer, or it is an error.
    """
    # Imported here since commands that call no daemon need no httpx.
    from burdockgap.cli.admin_client import AdminClient
    from burdockgap.cli.output import show_json, show_text

    answer = AdminClient(args).get(path, **params)
    if args.json:
        show_json(answer)
    else:
        show_text(answer)
    return ExitCode.OK
