"""Durations in the platform's format."""

from __future__ import annotations

from typing import Any


def decode_time(value: Any) -> float:
    """
    Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    :raises ValueError: if the value is not a duration.
    """
    if isinstance(value, str):
        if value.endswith("ms"):
            return float(value[:-2]) / 1000
        if value.endswith("s"):
            return float(value[:-1])
    raise ValueError(f"{value!r} is not a time such as 1500ms or 2.5s")


def encode_time(seconds: float) -> str:
    """Return a duration in the platform's format, in milliseconds."""
    return f"{int(seconds * 1000)}ms"
