"""Validated access to the fields of a JSON or TOML object."""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar("T")


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
        raise ValueError(f"{source!r} is not a JSON or TOML object")
    value: Any = source.get(name)
    is_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_bool:
        raise ValueError(f"field {name!r} is missing or has the wrong type")
    return value  # type: ignore[return-value]


def parse_address(value: Any) -> tuple[str, int]:
    """
    Return host and port of an address such as ``10.0.0.1:80``.

    :raises ValueError: if the value has no port in decimal digits.
    """
    host, colon, port = str(value).rpartition(":")
    if not colon or not port.isdigit():
        raise ValueError(f"{value!r} is not an address such as 10.0.0.1:80")
    return host, int(port)
