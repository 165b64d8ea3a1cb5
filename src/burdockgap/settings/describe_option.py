"""Description of the values that an option accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.settings.ranges.describe import describe

if TYPE_CHECKING:
    from burdockgap.settings.option import Option

_KIND_NAMES: dict[type, str] = {
    str: "text",
    int: "an integer",
    float: "a number",
}


def describe_option(option: Option) -> str:
    """
    Return the type, unit and range of an option as text.

    :param option: the option.
    """
    kind = _KIND_NAMES[option.kind]
    unit = f" ({option.unit})" if option.unit else ""
    return f"{kind}{unit}: {describe(option.allowed)}"
