"""The declaration of one key of the configuration document."""

from __future__ import annotations

import re

_KIND_NAMES = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a string",
}


class Field:
    """
    Name, type, default value and accepted range of a key.

    :param name: the key.
    :param kind: ``bool``, ``int``, ``float`` or ``str``.
    :param default: the value if the key is absent.
    :param help: one-line description of the key.
    :param lowest: minimum of a number.
    :param highest: maximum of a number.
    :param pattern: regular expression that must match a whole string.
    :param power_of_two: whether only powers of two are accepted.
    """

    __slots__ = (
        "default",
        "help",
        "highest",
        "kind",
        "lowest",
        "name",
        "pattern",
        "power_of_two",
    )

    def __init__(
        self,
        name: str,
        kind: type[bool] | type[int] | type[float] | type[str],
        default: bool | int | float | str,
        help: str,
        *,
        lowest: float = 0,
        highest: float = 0,
        pattern: str = "",
        power_of_two: bool = False,
    ) -> None:
        self.name = name
        self.kind = kind
        self.default = default
        self.help = help
        self.lowest = lowest
        self.highest = highest
        self.pattern = pattern
        self.power_of_two = power_of_two

    def expected(self) -> str:
        """Return a description of the accepted type and range."""
        if self.kind is bool:
            return _KIND_NAMES[bool]
        if self.kind is str:
            return f"a string that matches {self.pattern}"
        name = "a power of two" if self.power_of_two else ""
        name = name or _KIND_NAMES[self.kind]
        return f"{name} from {self.lowest} to {self.highest}"

    def accepts(self, value: object) -> bool:
        """Return whether a value has the accepted type and range."""
        if isinstance(value, bool) or self.kind is bool:
            return isinstance(value, bool) and self.kind is bool
        if isinstance(value, str) or self.kind is str:
            return self._accepts_text(value)
        return self._accepts_number(value)

    def _accepts_text(self, value: object) -> bool:
        if not isinstance(value, str) or self.kind is not str:
            return False
        return re.fullmatch(self.pattern, value) is not None

    def _accepts_number(self, value: object) -> bool:
        if isinstance(value, int):
            in_range = self.lowest <= value <= self.highest
            return in_range and (
                not self.power_of_two or value & (value - 1) == 0
            )
        if not isinstance(value, float) or self.kind is not float:
            return False
        return self.lowest <= value <= self.highest
