"""The parser of the command line."""

from __future__ import annotations

import argparse

from burdockgap import __version__
from burdockgap.cli import (
    audit,
    check,
    config,
    daemon,
    data_centre,
    explain,
    owner,
    route,
    session,
    settings,
    sidecar,
    status,
    target,
)

_COMMANDS = (
    daemon,
    explain,
    route,
    check,
    settings,
    status,
    config,
    data_centre,
    target,
    owner,
    audit,
    session,
    sidecar,
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands registered."""
    parser = argparse.ArgumentParser(
        prog="burdockgap",
        description="A router for servers that own keys exclusively.",
    )
    parser.add_argument(
        "--version", action="version", version=f"burdockgap {__version__}"
    )
    commands = parser.add_subparsers(
        title="commands", metavar="COMMAND", required=True
    )
    for module in _COMMANDS:
        module.register(commands)
    return parser
