"""Encoding of requests and responses, and header utilities."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only, in lower case."""


def encode_request(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes = b"",
) -> bytes:
    """Return an encoded request, with a Content-Length if needed."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body_bytes: int,
) -> bytes:
    """Return a request without its body, which has some size."""
    lines = [f"{method} {target} HTTP/1.1\r\n"]
    lines += [f"{name}: {value}\r\n" for name, value in headers]
    if body_bytes or method not in _BODILESS_METHODS:
        lines.append(f"content-length: {body_bytes}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


def encode_response(
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes = b"",
    *,
    close: bool = False,
    bodiless: bool = False,
) -> bytes:
    """
    Return an encoded response, with a Content-Length.

    :param close: whether to announce that the connection is closed.
    :param bodiless: whether to omit the body, as for ``HEAD`` or where
        it is sent separately.
    """
    lines = [f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Unknown')}\r\n"]
    lines += [f"{name}: {value}\r\n" for name, value in headers]
    lines.append(f"content-length: {len(body)}\r\n")
    if close:
        lines.append("connection: close\r\n")
    lines.append("\r\n")
    head = "".join(lines).encode("latin-1")
    return head if bodiless else head + body


def first_value(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, named in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def connection_headers(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the names that Connection headers list, in lower case."""
    names: set[str] = set()
    for name, value in headers:
        if name == "connection":
            names.update(part.strip().lower() for part in value.split(","))
    return frozenset(names)


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """
    Return the headers without the hop-by-hop ones.

    Content-Length is omitted as well: the encoders add it.
    """
    pairs = list(headers)
    listed = connection_headers(pairs)
    return [
        pair
        for pair in pairs
        if pair[0] not in HOP_BY_HOP
        and pair[0] not in listed
        and pair[0] != "content-length"
    ]
