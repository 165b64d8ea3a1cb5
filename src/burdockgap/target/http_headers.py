"""The HTTP headers between the gate and its target."""

from __future__ import annotations

from burdockgap.http1.encode import HOP_BY_HOP

REQUEST_ID = "Burdockgap-Request-Id"
KEY = "Burdockgap-Key"
"""The caller's key, passed on to the target as it is."""

UNIT = "Burdockgap-Unit"
EPOCH = "Burdockgap-Epoch"
DEADLINE_MS = "Burdockgap-Deadline-Ms"
"""Milliseconds that remain until the deadline."""

DEADLINE_AT_MS = "Burdockgap-Deadline-At-Ms"
"""The deadline on ``CLOCK_BOOTTIME``, which daemon and target share."""

NOT_RUN = "Burdockgap-Not-Run"
DETAIL = "burdockgap-detail"
"""Set to 1 on a 503 by a target that did not run the request."""

_OWN_PREFIX = "burdockgap-"


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """
    Return the headers that may be passed on to another connection.

    Hop-by-hop headers, those that ``Connection`` names and the
    project's own headers, but for the key, are left out.
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
