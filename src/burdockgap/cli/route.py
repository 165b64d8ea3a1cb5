"""The command ``route``."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

    from burdockgap.cli.types import Subparsers

_DEFAULT_DAEMON = "127.0.0.1:9464"
_TIMEOUT_S = 5.0
_BAD_REQUEST = 400
_CANDIDATE_FIELDS = (
    "member",
    "data_centre",
    "expected_ms",
    "in_flight",
    "waiting",
    "slots",
    "service_ms",
    "load_age_ms",
    "would",
)


def register(commands: Subparsers) -> None:
    """Register the command's parser."""
    text = "explain where a request would go now, without sending it"
    parser = commands.add_parser("route", help=text, description=text)
    parser.add_argument("--host", required=True, help="the request's host")
    parser.add_argument("--path", required=True, help="its path")
    parser.add_argument("--key", type=int, help="its key, if it has one")
    parser.add_argument(
        "--credential-file",
        metavar="FILE",
        help="file that contains the client's key",
    )
    parser.add_argument(
        "--daemon",
        metavar="HOST:PORT",
        default=_DEFAULT_DAEMON,
        help="where a sidecar daemon exposes its metrics; "
        f"default: {_DEFAULT_DAEMON}",
    )
    parser.add_argument(
        "--json", action="store_true", help="print the answer as JSON"
    )
    parser.set_defaults(command=_run)


def _run(args: argparse.Namespace) -> int:
    """Ask the daemon and print its explanation."""
    found = _ask(args)
    if args.json:
        print(json.dumps(found, indent=2))
    else:
        print("\n".join(_lines(found)))
    return int(ExitCode.OK)


def _ask(args: argparse.Namespace) -> dict[str, Any]:
    query = {"host": args.host, "path": args.path}
    if args.key is not None:
        query["key"] = str(args.key)
    headers = _read_credential(args.credential_file)
    url = f"http://{args.daemon}/route?{urlencode(query)}"
    # Imported here so that other commands don't load it.
    import httpx

    try:
        response = httpx.get(
            url, headers=headers, timeout=_TIMEOUT_S, trust_env=False
        )
        found = response.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as exc:
        raise CliFailure(
            ExitCode.UNREACHABLE, f"daemon {args.daemon}: {exc}"
        ) from exc
    if response.status_code == _BAD_REQUEST:
        raise CliFailure(ExitCode.BAD_INPUT, str(found.get("error")))
    return dict(found)


def _read_credential(name: str | None) -> dict[str, str]:
    """Return the header with the client's key, if there is one."""
    if name is None:
        return {}
    try:
        key = Path(name).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as exc:
        # The message of a decoding error quotes a part of the key.
        why = exc.strerror if isinstance(exc, OSError) else "is not ASCII"
        raise CliFailure(ExitCode.BAD_INPUT, f"{name}: {why}") from None
    return {"Authorization": f"Bearer {key}"}


def _lines(found: dict[str, Any]) -> Iterator[str]:
    services = found.get("services", [])
    yield _plain(found, without=("services",))
    for service in services:
        yield _plain(service, without=("candidates",))
        for item in service.get("candidates", []):
            yield "  " + "  ".join(
                f"{name}={item[name]}" for name in _CANDIDATE_FIELDS
            )


def _plain(values: dict[str, Any], *, without: tuple[str, ...]) -> str:
    return "  ".join(
        f"{name}={value}"
        for name, value in values.items()
        if name not in without
    )
