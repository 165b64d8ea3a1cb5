"""Validated access to the fields of a JSON or TOML object."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn, TypeVar

from burdockgap.wire.checks import MAX_INTEGER, check_integer, check_port

T = TypeVar("T")
_PORT_DIGITS = 5


def decode_json(data: bytes) -> Any:
    """
    Decode JSON that another process wrote.

    :raises ValueError: if the data is not JSON, is nested too deeply or
        has a number that is not finite.
    """
    try:
        return json.loads(
            data, parse_float=_finite, parse_constant=_reject_constant
        )
    except RecursionError as exc:
        raise ValueError("JSON is nested too deeply") from exc


def require_field(
    source: Any, name: str, kind: type[T] | tuple[type, ...]
) -> T:
    """
    Return a required field of an object.

    A bool is not accepted as a number.

    :param source: the decoded object.
    :param name: the field's name.
    :param kind: type or types that the value must have.
    :raises ValueError: if the source is not an object, or the field is
        missing or has the wrong type.
    """
    if not isinstance(source, dict):
        # Not its content, which may be a client's key.
        raise ValueError(
            f"value of type {type(source).__name__} is not a JSON or TOML "
            "object"
        )
    value: Any = source.get(name)
    is_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_bool:
        raise ValueError(f"field {name!r} is missing or has the wrong type")
    return value  # type: ignore[return-value]


def require_integer(
    source: Any, name: str, *, least: int = 0, most: int = MAX_INTEGER
) -> int:
    """
    Return a required integer of an object.

    :raises ValueError: if the source is not an object, or the field is
        missing, has the wrong type or is out of range.
    """
    return check_integer(
        require_field(source, name, int),
        f"field {name!r}",
        least=least,
        most=most,
    )


def parse_address(value: Any) -> tuple[str, int]:
    """
    Return host and port of an address such as ``10.0.0.1:80``.

    :raises ValueError: if the value has no host, or no port from 1 to
        65,535 in decimal digits.
    """
    host, _, port = str(value).rpartition(":")
    if (
        not host
        or not str(value).isascii()
        or not port.isdigit()
        or len(port) > _PORT_DIGITS
    ):
        raise ValueError(
            f"{value!r:.80} is not an address such as 10.0.0.1:80"
        )
    return host, check_port(int(port), f"port of {value!r:.80}")


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text:.40} is not a finite number")
    return number


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a finite number")
