"""What all commands that make changes share."""

from __future__ import annotations

import getpass
from typing import TYPE_CHECKING, Any

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure

if TYPE_CHECKING:
    import argparse


def send_change(args: argparse.Namespace, path: str, **fields: Any) -> int:
    """
    Send a change and report its outcome.

    :param args: the parsed command line.
    :param path: path of the administration API.
    :param fields: what the change consists of.
    :raises CliFailure: if the change was not accepted.
    """
    fields["author"] = args.author or _login_name()
    if args.against is not None:
        fields["against"] = args.against
    # Imported here, since commands without a daemon need no client.
    from burdockgap.cli.admin_client import AdminClient
    from burdockgap.cli.output import show_json

    answer = AdminClient(args).post(path, fields)
    if args.json:
        show_json(answer)
    else:
        print(f"{answer.get('verdict')}: version {answer.get('version')}")
    return ExitCode.OK


def _login_name() -> str:
    """Return the login name of the operator."""
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError) as exc:
        raise CliFailure(
            ExitCode.BAD_INPUT, "no login name is known; give --author"
        ) from exc
