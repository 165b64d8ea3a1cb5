"""Checks of values that other processes sent."""

from __future__ import annotations

import ipaddress
import math
from typing import Any

MAX_COUNT = 2**31 - 1
MAX_INTEGER = 2**63 - 1
"""Larger integers cannot be passed on to other daemons."""
_MAX_PORT = 65_535


def check_text(value: Any, name: str) -> str:
    """
    Return the value, which has to be a string.

    :raises ValueError: if it is not one, or has characters that cannot
        be encoded.
    """
    if not isinstance(value, str):
        raise ValueError(f"{name} is {value!r:.40}, which is no string")
    value.encode()
    return value


def check_flag(value: Any, name: str) -> bool:
    """
    Return the value, which has to be true or false.

    :raises ValueError: if it is neither.
    """
    if not isinstance(value, bool):
        raise ValueError(
            f"{name} is {value!r:.40}, which is neither true nor false"
        )
    return value


def check_integer(
    value: Any, name: str, *, least: int = 0, most: int = MAX_INTEGER
) -> int:
    """
    Return the value, which has to be an integer.

    :raises ValueError: if it is not one, or is out of range.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{name} is {value!r:.40}, which is no integer")
    if not least <= value <= most:
        raise ValueError(f"{name} is out of range: {least} to {most}")
    return value


def check_number(value: Any, name: str) -> float:
    """
    Return the value, which has to be a finite number from 0 on.

    :raises ValueError: if it is not one.
    """
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise ValueError(f"{name} is {value!r:.40}, which is no number")
    if not 0 <= value <= MAX_INTEGER or not math.isfinite(value):
        raise ValueError(f"{name} is out of range: 0 to {MAX_INTEGER}")
    return value


def check_port(value: Any, name: str) -> int:
    """
    Return the value, which has to be a port.

    :raises ValueError: if it is not an integer from 1 to 65,535.
    """
    return check_integer(value, name, least=1, most=_MAX_PORT)


def check_address(value: Any, name: str) -> tuple[str, int]:
    """
    Return the value, a pair of IP address and port, as a tuple.

    :raises ValueError: if it is not such a pair.
    """
    if not isinstance(value, (list, tuple)) or len(value) != 2:
        raise ValueError(f"{name} is {value!r:.40}, not a host and a port")
    host = check_text(value[0], f"host of {name}")
    ipaddress.ip_address(host)
    return host, check_port(value[1], f"port of {name}")
