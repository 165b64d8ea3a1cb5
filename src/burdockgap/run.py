"""Entry point of the program."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure
from burdockgap.cli.parser import make_parser

if TYPE_CHECKING:
    from collections.abc import Sequence

_SIGINT_EXIT_CODE = 130  # 128 + SIGINT, as shells report it


def main(argv: Sequence[str] | None = None) -> int:
    """
    Parse the command line and run the command it names.

    :param argv: the arguments; by default those of the process.
    :return: the exit code.
    """
    try:
        args = make_parser().parse_args(argv)
    except SystemExit as exc:
        return int(exc.code or ExitCode.OK)
    try:
        return int(args.command(args))
    except CliFailure as exc:
        print(f"burdockgap: {exc}", file=sys.stderr)
        return int(exc.code)
    except KeyboardInterrupt:
        return _SIGINT_EXIT_CODE
