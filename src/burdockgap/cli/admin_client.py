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

_EXIT_CODES = {
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

_BAD_ARGUMENT_ERRORS = (
    httpx.InvalidURL,
    httpx.LocalProtocolError,
    httpx.UnsupportedProtocol,
    UnicodeEncodeError,
)

_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
)


class AdminClient:
    """
    A client of the administration API that the command line names.

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
        Send a GET request and return the JSON value of the answer.

        :raises CliFailure: if there is no answer, or it is an error.
        """
        return self._call("GET", path, ExitCode.UNREACHABLE, params=params)

    def post(self, path: str, fields: dict[str, Any]) -> Any:
        """
        Send a POST request and return the JSON value of the answer.

        :raises CliFailure: if there is no answer, or it is an error.
        """
        return self._call("POST", path, ExitCode.OUTCOME_UNKNOWN, json=fields)

    def _call(
        self,
        method: str,
        path: str,
        code_without_answer: ExitCode,
        **content: Any,
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
        except _BAD_ARGUMENT_ERRORS as exc:
            raise CliFailure(
                ExitCode.BAD_INPUT, f"correct the URL or token: {exc}"
            ) from exc
        except httpx.HTTPError as exc:
            raise self._no_answer(exc, code_without_answer) from exc
        return _read(resp, code_without_answer)

    def _no_answer(
        self, exc: httpx.HTTPError, code_without_answer: ExitCode
    ) -> CliFailure:
        """Return the failure to raise for a call without an answer."""
        cause = str(exc) or type(exc).__name__
        if isinstance(exc, _NOT_SENT_ERRORS):
            text = f"cannot reach {self._url}: {cause}; see --admin"
            return CliFailure(ExitCode.UNREACHABLE, text)
        text = f"no answer from {self._url}: {cause}"
        if code_without_answer is ExitCode.OUTCOME_UNKNOWN:
            text += "; see the audit trail for the change's outcome"
        return CliFailure(code_without_answer, text)


def _read(resp: httpx.Response, code_without_answer: ExitCode) -> Any:
    """Return the JSON value of an answer; raise if it is an error."""
    try:
        value = resp.json()
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise CliFailure(
            code_without_answer,
            f"HTTP status {resp.status_code} without a JSON object; does "
            "--admin name an administration API?",
        )
    if resp.status_code == httpx.codes.OK:
        return value
    code = _EXIT_CODES.get(resp.status_code, code_without_answer)
    raise CliFailure(code, _error_text(resp.status_code, value))


def _error_text(status: int, value: dict[str, Any]) -> str:
    """Return the error text of an answer."""
    if "verdict" not in value:
        return str(value.get("error", f"HTTP status {status}"))
    return (
        f"{value['verdict']}: {value.get('reason')} "
        f"(current version: {value.get('version')})"
    )
