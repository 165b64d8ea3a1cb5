"""Whether a range contains a value."""

from __future__ import annotations

import re
from functools import singledispatch
from typing import Any
from urllib.parse import urlsplit

from burdockgap.settings.endpoint import Endpoint
from burdockgap.settings.ranges.address import Address
from burdockgap.settings.ranges.between import Between
from burdockgap.settings.ranges.name import Name
from burdockgap.settings.ranges.one_of import OneOf
from burdockgap.settings.ranges.text import Text
from burdockgap.settings.ranges.url import Url

_NAME = re.compile(r"[\w.-]{1,64}")


@singledispatch
def admits(allowed: object, value: Any) -> bool:
    """
    Tell whether a range contains a value of the option's type.

    :param allowed: the range.
    :param value: the value, already checked to have the type of the
        range.
    :raises TypeError: if ``allowed`` is not a known range.
    """
    raise TypeError(f"unknown range type: {type(allowed)}, value {value!r}")


@admits.register
def _(allowed: Address, value: str) -> bool:
    if not value:
        return allowed.optional
    try:
        endpoint = Endpoint.parse(value)
    except ValueError:
        return False
    return endpoint.port >= allowed.lowest_port


@admits.register
def _(allowed: Between, value: float) -> bool:
    return allowed.low <= value <= allowed.high


@admits.register
def _(_allowed: Name, value: str) -> bool:
    return _NAME.fullmatch(value) is not None


@admits.register
def _(allowed: OneOf, value: str) -> bool:
    return value in allowed.choices


@admits.register
def _(allowed: Text, value: str) -> bool:
    return len(value) >= allowed.min_length


@admits.register
def _(_allowed: Url, value: str) -> bool:
    try:
        parts = urlsplit(value)
        host = parts.hostname
    except ValueError:
        return False
    return parts.scheme in {"http", "https"} and bool(host)
