"""Random identifiers of records, sessions, processes and requests."""

from __future__ import annotations

import secrets

_ID_BITS = 63


def new_id() -> int:
    """Return a random 63-bit identifier, never zero."""
    return secrets.randbits(_ID_BITS) | 1


def show_id(value: int) -> str:
    """Return an identifier as 16 hexadecimal digits."""
    return f"{value:016x}"


def parse_id(text: str) -> int:
    """
    Parse an identifier in the format of :func:`show_id`.

    :raises ValueError: if the text is not hexadecimal.
    """
    return int(text, 16)
