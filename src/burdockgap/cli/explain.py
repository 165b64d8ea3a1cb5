"""The command ``explain``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable, Iterator

    from burdockgap.cli.types import Subparsers

_LEADING_FIELDS = ("at", "node", "event", "id")


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "print the timeline of one request from log lines"
    parser = commands.add_parser("explain", help=text, description=text)
    parser.add_argument("id", metavar="ID", help="the request's id")
    parser.add_argument(
        "files",
        metavar="FILE",
        nargs="*",
        help="files of log lines; standard input by default",
    )
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Print the log lines of the request in order of time."""
    found = sorted(_lines_of(args.id, args.files), key=_time_of)
    if not found:
        raise CliFailure(
            ExitCode.BAD_INPUT,
            f"no line names request {args.id!r}; look at the logs of the "
            "daemon that the caller used, and at burdockgap_sidecar_"
            "log_lines_dropped",
        )
    start_s = _time_of(found[0])
    for line in found:
        print(_format(line, start_s))
    return int(ExitCode.OK)


def _lines_of(request_id: str, files: list[str]) -> Iterator[dict[str, Any]]:
    for source in _sources(files):
        for text in source:
            # Platforms may prefix a log line with text of their own.
            start = text.find("{")
            if request_id not in text or start < 0:
                continue
            try:
                line = json.loads(text[start:])
            except ValueError:
                continue
            if _mentions(line, request_id):
                yield line


def _sources(files: list[str]) -> Iterator[Iterable[str]]:
    if not files:
        source: TextIO = sys.stdin
        yield source
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield file
        except OSError as exc:
            raise CliFailure(
                ExitCode.BAD_INPUT, f"{name}: {exc.strerror}"
            ) from exc


def _mentions(line: Any, request_id: str) -> bool:
    if not isinstance(line, dict):
        return False
    named = str(line.get("id", ""))
    # A server derives the ids of its own calls from the request's
    # id: id, dot, suffix.
    id_matches = named == request_id or named.startswith(f"{request_id}.")
    return id_matches or request_id in line.get("in_flight_ids", ())


def _time_of(line: dict[str, Any]) -> float:
    return float(line.get("at", 0.0))


def _format(line: dict[str, Any], start_s: float) -> str:
    rest = " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in line.items()
        if name not in _LEADING_FIELDS
    )
    offset_ms = (_time_of(line) - start_s) * 1000
    return (
        f"{offset_ms:+9.1f} ms  {line.get('node', '?')}  "
        f"{line.get('event', '?')}  {line.get('id', '')}  {rest}"
    )
