"""Calls to a daemon's administration API."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import httpx

from burdockgap.cli.exit_code import ExitCode
from burdockgap.cli.failure import CliFailure
from burdockgap.settings.ranges import Url
from burdockgap.settings.ranges.admits import admits
from burdockgap.settings.ranges.describe import describe
from burdockgap.tls.verification import verification

if TYPE_CHECKING:
    import argparse

_TOKEN_VARIABLE = "BURDOCKGAP_TOKEN"

_CODES = {
    400: ExitCode.BAD_INPUT,
    401: ExitCode.NOT_AUTHORISED,
    403: ExitCode.NOT_AUTHORISED,
    404: ExitCode.NOT_FOUND,
    405: ExitCode.BAD_INPUT,
    409: ExitCode.REJECTED,
    413: ExitCode.BAD_INPUT,
    415: ExitCode.BAD_INPUT,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.OUTCOME_UNKNOWN,
}

_BAD_ARGUMENTS = (
    httpx.InvalidURL,
    httpx.LocalProtocolError,
    httpx.UnsupportedProtocol,
    UnicodeEncodeError,
)

_NEVER_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
)


class AdminClient:
    """
    Calls the administration API that the command line names.

    :param args: the parsed command line.
    :raises CliFailure: if the URL is malformed.
    """

    __slots__ = ("_headers", "_timeout_s", "_url")

    def __init__(self, args: argparse.Namespace) -> None:
        if not admits(Url(), args.admin):
            raise CliFailure(
                ExitCode.BAD_INPUT, f"--admin: expected {describe(Url())}"
            )
        token = args.token or os.environ.get(_TOKEN_VARIABLE, "")
        self._headers: dict[bytes, bytes] = {}
        if token:
            bearer = b"Bearer " + os.fsencode(token)
            self._headers[b"authorization"] = bearer
        self._url: str = args.admin.rstrip("/")
        self._timeout_s: float = args.timeout

    def get(self, path: str, **params: str) -> Any:
        """
        Ask for something.

        :raises CliFailure: if there is no good answer.
        """
        return self._call("GET", path, ExitCode.UNREACHABLE, params=params)

    def post(self, path: str, fields: dict[str, Any]) -> Any:
        """
        Change something.

        :raises CliFailure: if there is no good answer.
        """
        return self._call("POST", path, ExitCode.OUTCOME_UNKNOWN, json=fields)

    def _call(
        self, method: str, path: str, code_if_lost: ExitCode, **content: Any
    ) -> Any:
        """Send a request and return the JSON value of its answer."""
        try:
            with httpx.Client(
                headers=self._headers,
                verify=verification(self._url),
                timeout=self._timeout_s,
                trust_env=False,
            ) as client:
                resp = client.request(method, self._url + path, **content)
        except _BAD_ARGUMENTS as exc:
            raise CliFailure(
                ExitCode.BAD_INPUT, f"correct the URL or token: {exc}"
            ) from exc
        except httpx.HTTPError as exc:
            raise self._lost(exc, code_if_lost) from exc
        return _read(resp, code_if_lost)

    def _lost(
        self, exc: httpx.HTTPError, code_if_lost: ExitCode
    ) -> CliFailure:
        """Return the failure for a call without an answer."""
        cause = str(exc) or type(exc).__name__
        if isinstance(exc, _NEVER_SENT):
            text = f"cannot reach {self._url}: {cause}; see --admin"
            return CliFailure(ExitCode.UNREACHABLE, text)
        text = f"no answer from {self._url}: {cause}"
        if code_if_lost is ExitCode.OUTCOME_UNKNOWN:
            text += "; see the audit trail for the change's outcome"
        return CliFailure(code_if_lost, text)


def _read(resp: httpx.Response, code_if_lost: ExitCode) -> Any:
    """Return the JSON value of an answer, or fail with its error."""
    try:
        value = resp.json()
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise CliFailure(
            code_if_lost,
            f"HTTP status {resp.status_code} without a JSON object; does "
            "--admin name an administration API?",
        )
    if resp.status_code == httpx.codes.OK:
        return value
    code = _CODES.get(resp.status_code, code_if_lost)
    raise CliFailure(code, _explain(resp.status_code, value))


def _explain(status: int, value: dict[str, Any]) -> str:
    """Return the words of an error answer."""
    if "verdict" not in value:
        return str(value.get("error", f"HTTP status {status}"))
    return (
        f"{value['verdict']}: {value.get('reason')} "
        f"(current version: {value.get('version')})"
    )
