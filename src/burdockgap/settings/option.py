"""The declaration of one setting."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from burdockgap.settings.ranges import Range

Value: TypeAlias = str | int | float


class Option:
    """
    A setting, declared once for the loader and the documentation.

    :param section: the TOML table that contains it.
    :param key: its name in that table.
    :param kind: the type of its value.
    :param unit: the unit of its value, or "".
    :param default: its value if the file sets none; ``None`` if the
        file must set it.
    :param allowed: the values that are accepted.
    :param help: what it does, in a sentence or two.
    :param secret: whether its value must not be shown.
    """

    __slots__ = (
        "allowed",
        "default",
        "help",
        "key",
        "kind",
        "secret",
        "section",
        "unit",
    )

    def __init__(
        self,
        section: str,
        key: str,
        kind: type[Value],
        *,
        allowed: Range,
        help: str,
        unit: str = "",
        default: Value | None = None,
        secret: bool = False,
    ) -> None:
        self.section = section
        self.key = key
        self.kind = kind
        self.unit = unit
        self.default = default
        self.allowed = allowed
        self.help = help
        self.secret = secret

    @property
    def where(self) -> str:
        """Return its place in the file, as ``section.key``."""
        return f"{self.section}.{self.key}"

    @property
    def required(self) -> bool:
        """Tell whether the file must set a value."""
        return self.default is None
