"""The common part of all commands that make changes."""

from __future__ import annotations

import getpass
from typing import TYPE_CHECKING, Any

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure

if TYPE_CHECKING:
    import argparse


def send_change(args: argparse.Namespace, path: str, **fields: Any) -> int:
    """
    Send a change to a daemon and print its outcome.

    :param args: the parsed command line.
    :param path: path of the administration API.
    :param fields: fields of the request body besides ``author`` and
        ``against``.
    :raises CliFailure: if the change was not accepted.
    """
    fields["author"] = args.author or _login_name()
    if args.against is not None:
        fields["against"] = args.against
    # Imported here since commands that call no daemon need no httpx.
    from burdockgap.cli.admin_client import AdminClient
    from burdockgap.cli.output import show_json

    answer = AdminClient(args).post(path, fields)
    if args.json:
        show_json(answer)
    else:
        print(f"{answer.get('verdict')}: version {answer.get('version')}")
    return ExitCode.OK


def _login_name() -> str:
    """Return the login name, the default author of a change."""
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError) as exc:
        raise CliFailure(
            ExitCode.BAD_INPUT, "no login name is known; give --author"
        ) from exc
