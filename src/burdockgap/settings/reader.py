"""Conversion of a parsed document to settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.settings.cross_checks import CROSS_CHECKS
from burdockgap.settings.declared import SECTIONS
from burdockgap.settings.describe_option import describe_option
from burdockgap.settings.problem import Problem
from burdockgap.settings.ranges.admits import admits
from burdockgap.settings.sections import (
    AdminSettings,
    CoordinatorSettings,
    DaemonSettings,
    DrainSettings,
    HttpSettings,
    LeaseSettings,
    LoggingSettings,
    LogSettings,
    PeerSettings,
    TargetSettings,
)
from burdockgap.settings.settings import Settings

if TYPE_CHECKING:
    from burdockgap.settings.option import Option, Value

_MISSING = object()

_SECTION_TYPES: dict[str, type[Any]] = {
    "daemon": DaemonSettings,
    "http": HttpSettings,
    "peer": PeerSettings,
    "admin": AdminSettings,
    "log": LogSettings,
    "lease": LeaseSettings,
    "coordinator": CoordinatorSettings,
    "target": TargetSettings,
    "drain": DrainSettings,
    "logging": LoggingSettings,
}


class Reader:
    """
    Converts a document to settings and collects every problem.

    :param path: the path of its file, named in problems.
    :ivar problems: problems found so far; unless it is empty, the
        settings returned by :meth:`read` must not be used.
    """

    __slots__ = ("_invalid_places", "_path", "problems")

    def __init__(self, path: str) -> None:
        self._path = path
        self._invalid_places: set[str] = set()
        self.problems: list[Problem] = []

    def read(self, document: dict[str, Any]) -> Settings:
        """
        Read all sections and check the rules that span them.

        :param document: the parsed TOML document.
        """
        for name in document.keys() - SECTIONS.keys():
            known = ", ".join(SECTIONS)
            self._add_problem(name, f"unknown section; known are {known}")
        sections = {
            name: _SECTION_TYPES[name](**self._section(document, name))
            for name in SECTIONS
        }
        settings = Settings(**sections)
        self._check_rules(settings)
        self.problems.sort(key=lambda problem: problem.where)
        return settings

    def _section(
        self, document: dict[str, Any], name: str
    ) -> dict[str, Value]:
        """Return the values of a section by key."""
        options = SECTIONS[name]
        table = document.get(name, {})
        if not isinstance(table, dict):
            self._add_problem(name, f"expected a section, written [{name}]")
            table = {}
        known = [option.key for option in options]
        for key in table.keys() - set(known):
            text = f"unknown key; known are {', '.join(known)}"
            self._add_problem(f"{name}.{key}", text)
        return {option.key: self._value(table, option) for option in options}

    def _value(self, table: dict[str, Any], option: Option) -> Value:
        """Return an option's value; a placeholder if it is invalid."""
        value = table.get(option.key, _MISSING)
        if value is _MISSING and option.default is not None:
            return option.default
        if option.kind is float and type(value) is int:
            value = float(value)
        if type(value) is option.kind and admits(option.allowed, value):
            return value
        found = _show(value, option)
        self._add_problem(
            option.where,
            f"expected {describe_option(option)}; found {found}",
        )
        return option.kind() if option.default is None else option.default

    def _check_rules(self, settings: Settings) -> None:
        """Check each rule whose settings are all valid on their own."""
        for rule in CROSS_CHECKS:
            if self._invalid_places.isdisjoint(rule.keys) and not rule.holds(
                settings
            ):
                self._add_problem(rule.keys[0], rule.text)

    def _add_problem(self, where: str, text: str) -> None:
        """Record a problem and mark its place as invalid."""
        self._invalid_places.add(where)
        self.problems.append(Problem(path=self._path, where=where, text=text))


def _show(value: Any, option: Option) -> str:
    """Return the value as text; of a secret only its length."""
    if value is _MISSING:
        return "nothing"
    if option.secret and isinstance(value, str):
        return f"text of {len(value)} characters"
    return repr(value)
