"""Conversion of views to JSON values."""

from __future__ import annotations

import enum
from functools import singledispatch
from typing import Any

from burdockgap.admin.views.view import View


@singledispatch
def encode(value: object) -> Any:
    """
    Convert a value to one that ``json`` can serialise.

    :param value: a view, or a value of one of its slots.
    """
    return value


@encode.register
def _(value: View) -> Any:
    return {name: encode(getattr(value, name)) for name in value.__slots__}


@encode.register
def _(value: list) -> Any:  # type: ignore[type-arg]
    return [encode(item) for item in value]


@encode.register
def _(value: enum.Enum) -> Any:
    return value.value
