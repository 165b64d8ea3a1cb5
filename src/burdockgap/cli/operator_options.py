"""Command-line options that commands of operators share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

DEFAULT_URL = "http://127.0.0.1:9090"
_DEFAULT_TIMEOUT_S = 15.0


def add_operator_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of every command that calls a daemon."""
    parser.add_argument(
        "--admin",
        metavar="URL",
        default=DEFAULT_URL,
        help="administration API of any daemon (default: %(default)s)",
    )
    parser.add_argument(
        "--token",
        help="bearer token (default: the variable BURDOCKGAP_TOKEN)",
    )
    parser.add_argument(
        "--timeout",
        metavar="SECONDS",
        type=float,
        default=_DEFAULT_TIMEOUT_S,
        help="time to wait for the daemon (default: %(default)s)",
    )
    parser.add_argument(
        "--json", action="store_true", help="print the answer as JSON"
    )


def add_change_options(
    parser: argparse.ArgumentParser, *, against_required: bool = False
) -> None:
    """Add the options of every command that makes a change."""
    add_operator_options(parser)
    parser.add_argument(
        "--author", help="who makes the change (default: the login name)"
    )
    parser.add_argument(
        "--against",
        metavar="VERSION",
        type=int,
        required=against_required,
        help="configuration version that the change is made against",
    )
