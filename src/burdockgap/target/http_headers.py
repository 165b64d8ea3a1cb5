"""HTTP headers on the connection between the gate and its target."""

from __future__ import annotations

from burdockgap.http1.encode import HOP_BY_HOP

REQUEST_ID = "Burdockgap-Request-Id"
KEY = "Burdockgap-Key"
"""The caller's key, forwarded to the target unchanged."""

UNIT = "Burdockgap-Unit"
EPOCH = "Burdockgap-Epoch"
DEADLINE_MS = "Burdockgap-Deadline-Ms"
"""Milliseconds that remain until the deadline."""

DEADLINE_AT_MS = "Burdockgap-Deadline-At-Ms"
"""The deadline on ``CLOCK_BOOTTIME``, which daemon and target share."""

NOT_RUN = "Burdockgap-Not-Run"
DETAIL = "burdockgap-detail"
"""Why a target did not run a request; it sets ``NOT_RUN`` to 1 on that
503."""

_OWN_PREFIX = "burdockgap-"


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """
    Return the headers that may be forwarded on another connection.

    Hop-by-hop headers, those that ``Connection`` names and the
    project's own headers except ``KEY`` are removed.
    """
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if _is_end_to_end(name.lower()) and name.lower() not in named
    ]


def _is_end_to_end(name: str) -> bool:
    if name == KEY.lower():
        return True
    return name not in HOP_BY_HOP and not name.startswith(_OWN_PREFIX)


def _named_by_connection(headers: list[tuple[str, str]]) -> set[str]:
    return {
        item.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for item in value.split(",")
    }
