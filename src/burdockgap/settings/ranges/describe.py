"""Descriptions of ranges for errors and documentation."""

from __future__ import annotations

from functools import singledispatch

from burdockgap.settings.ranges.address import Address
from burdockgap.settings.ranges.between import Between
from burdockgap.settings.ranges.name import Name
from burdockgap.settings.ranges.one_of import OneOf
from burdockgap.settings.ranges.text import Text
from burdockgap.settings.ranges.url import Url


@singledispatch
def describe(allowed: object) -> str:
    """
    Return a description of the values in a range.

    :param allowed: the range.
    :raises TypeError: if it is not a known range.
    """
    raise TypeError(f"unknown range type: {type(allowed)}")


@describe.register
def _(allowed: Address) -> str:
    text = f"IP address:port, port {allowed.lowest_port} to 65535"
    return f"{text}, or empty" if allowed.optional else text


@describe.register
def _(allowed: Between) -> str:
    return f"{allowed.low:g} to {allowed.high:g}"


@describe.register
def _(_allowed: Name) -> str:
    return "1 to 64 letters, digits, dots, underscores or hyphens"


@describe.register
def _(allowed: OneOf) -> str:
    return " or ".join(f'"{choice}"' for choice in allowed.choices)


@describe.register
def _(allowed: Text) -> str:
    if not allowed.min_length:
        return "any text"
    return f"at least {allowed.min_length} characters"


@describe.register
def _(_allowed: Url) -> str:
    return "an http:// or https:// URL"
