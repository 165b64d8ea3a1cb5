"""Durations in the platform's format."""

from __future__ import annotations

import math
from typing import Any

_MAX_TIME_S = 366 * 86_400.0
"""Longer times are beyond what timers of the event loop take."""


def decode_time(value: Any) -> float:
    """
    Return the seconds of a duration such as ``1500ms`` or ``2.5s``.

    :raises ValueError: if the value is not a duration from 0 to a year.
    """
    seconds = math.nan
    if isinstance(value, str):
        if value.endswith("ms"):
            seconds = float(value[:-2]) / 1000
        elif value.endswith("s"):
            seconds = float(value[:-1])
    if not 0 <= seconds <= _MAX_TIME_S:
        raise ValueError(f"{value!r:.40} is not a time such as 1500ms or 2.5s")
    return seconds


def encode_time(seconds: float) -> str:
    """Return a duration in the platform's format, in milliseconds."""
    return f"{int(seconds * 1000)}ms"
