"""Conversion of a parsed document to settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.settings.cross_checks import CROSS_CHECKS
from burdockgap.settings.declared import SECTIONS
from burdockgap.settings.expected import expected
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
    Reads one document and collects every problem of it.

    :param path: the name of its file, for the problems.
    :ivar problems: what was found; if any, the settings read must not
        be used.
    """

    __slots__ = ("_faulty", "_path", "problems")

    def __init__(self, path: str) -> None:
        self._path = path
        self._faulty: set[str] = set()
        self.problems: list[Problem] = []

    def read(self, document: dict[str, Any]) -> Settings:
        """
        Read all sections and check the rules between them.

        :param document: the parsed TOML document.
        """
        for name in document.keys() - SECTIONS.keys():
            known = ", ".join(SECTIONS)
            self._add(name, f"unknown section; known are {known}")
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
            self._add(name, f"expected a section, written [{name}]")
            table = {}
        known = [option.key for option in options]
        for key in table.keys() - set(known):
            text = f"unknown key; known are {', '.join(known)}"
            self._add(f"{name}.{key}", text)
        return {option.key: self._value(table, option) for option in options}

    def _value(self, table: dict[str, Any], option: Option) -> Value:
        """Return an option's value; a stand-in if it has a problem."""
        value = table.get(option.key, _MISSING)
        if value is _MISSING and option.default is not None:
            return option.default
        if option.kind is float and type(value) is int:
            value = float(value)
        if type(value) is option.kind and admits(option.allowed, value):
            return value
        found = _show(value, option)
        self._add(option.where, f"expected {expected(option)}; found {found}")
        return option.kind() if option.default is None else option.default

    def _check_rules(self, settings: Settings) -> None:
        """Check the rules whose settings are valid."""
        for rule in CROSS_CHECKS:
            if self._faulty.isdisjoint(rule.keys) and not rule.holds(settings):
                self._add(rule.keys[0], rule.text)

    def _add(self, where: str, text: str) -> None:
        """Note a problem."""
        self._faulty.add(where)
        self.problems.append(Problem(path=self._path, where=where, text=text))


def _show(value: Any, option: Option) -> str:
    """Return what was found, without the text of a secret."""
    if value is _MISSING:
        return "nothing"
    if option.secret and isinstance(value, str):
        return f"text of {len(value)} characters"
    return repr(value)
