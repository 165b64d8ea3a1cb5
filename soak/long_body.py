"""Bodies that long messages between daemons carry."""

from __future__ import annotations

_SIZE = 40_000
"""Above the 16 KB up to which messages need no grant."""


def make_long_body(request_id: str) -> bytes:
    """Return the long body of a request, which depends on its id."""
    part = f"{request_id}\n".encode()
    return (part * (_SIZE // len(part) + 1))[:_SIZE]


def is_intact(body: bytes, request_id: str) -> bool:
    """Return whether a body is empty or the whole one of a request."""
    return not body or body == make_long_body(request_id)
