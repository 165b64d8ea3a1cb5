"""Typed access to the fields of a JSON or TOML object."""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar("T")


def field(source: Any, name: str, kind: type[T] | tuple[type, ...]) -> T:
    """
    Return a field of an object.

    :raises ValueError: if it is missing or of another type.
    """
    if not isinstance(source, dict):
        raise ValueError(f"{source!r} is not an object")
    value: Any = source.get(name)
    is_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_bool:
        raise ValueError(f"field {name!r} is missing or of another type")
    return value  # type: ignore[return-value]


def address(value: Any) -> tuple[str, int]:
    """
    Return host and port of a text such as ``10.0.0.1:80``.

    :raises ValueError: if the value is no address.
    """
    host, colon, port = str(value).rpartition(":")
    if not colon or not port.isdigit():
        raise ValueError(f"{value!r} is not an address such as 10.0.0.1:80")
    return host, int(port)
