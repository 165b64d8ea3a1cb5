"""Parser and validator of the configuration document."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from burdockgap.config.document import Document
from burdockgap.config.fields import (
    NAME_PATTERN,
    PROFILE_FIELDS,
    SERVICE_FIELDS,
)
from burdockgap.config.problem import Problem
from burdockgap.config.profile import Profile
from burdockgap.config.service_config import ServiceConfig

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from burdockgap.config.field import Field

_SECTIONS = ("services", "profiles")
_MAX_DOCUMENT_BYTES = 65536
_MAX_FOUND_CHARS = 60


def parse_document(text: str) -> Result[Document, list[Problem]]:
    """
    Parse a document and collect all of its problems.

    :param text: the document as TOML.
    :return: the document, or every problem found.
    """
    if len(text.encode()) > _MAX_DOCUMENT_BYTES:
        expected = f"at most {_MAX_DOCUMENT_BYTES} bytes"
        return Failure([_make_problem("", expected, "more")])
    try:
        tree = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        return Failure([_make_problem("", "TOML", str(exc))])
    return _build_document(tree)


def _build_document(tree: dict[str, Any]) -> Result[Document, list[Problem]]:
    problems = [
        _make_problem(key, "one of services, profiles", "an unknown key")
        for key in tree
        if key not in _SECTIONS
    ]
    profiles = {
        name: Profile(name=name, **values)
        for name, values in _read_section(
            tree, "profiles", PROFILE_FIELDS, problems
        ).items()
    }
    service_values = _read_section(tree, "services", SERVICE_FIELDS, problems)
    services = {
        name: ServiceConfig(name=name, **values)
        for name, values in service_values.items()
    }
    document = Document(services, profiles)
    problems += _slices_of_unkeyed(tree)
    problems += _unknown_profiles(document, tree)
    problems += _duplicate_prefixes(document)
    return Failure(problems) if problems else Success(document)


def _read_section(
    tree: dict[str, Any],
    section: str,
    fields: Sequence[Field],
    problems: list[Problem],
) -> dict[str, dict[str, Any]]:
    section_values = {}
    for name, table in _section_tables(tree, section, problems):
        key = f"{section}.{name}"
        if re.fullmatch(NAME_PATTERN, name) is None:
            expected = f"a name that matches {NAME_PATTERN}"
            problems.append(_make_problem(key, expected, name))
        section_values[name] = _read_table(key, table, fields, problems)
    return section_values


def _section_tables(
    tree: dict[str, Any], section: str, problems: list[Problem]
) -> Iterator[tuple[str, dict[str, Any]]]:
    entries = tree.get(section, {})
    if not isinstance(entries, dict):
        problems.append(_make_problem(section, "a table", entries))
        return
    for name, table in entries.items():
        if isinstance(table, dict):
            yield name, table
        else:
            key = f"{section}.{name}"
            problems.append(_make_problem(key, "a table", table))


def _read_table(
    key: str,
    table: dict[str, Any],
    fields: Sequence[Field],
    problems: list[Problem],
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for field in fields:
        value = table.get(field.name, field.default)
        if field.name in table and not field.accepts(value):
            path = f"{key}.{field.name}"
            problems.append(_make_problem(path, field.expected(), value))
            value = field.default
        values[field.name] = value
    names = ", ".join(field.name for field in fields)
    problems += [
        _make_problem(f"{key}.{name}", f"one of {names}", "an unknown key")
        for name in table
        if name not in values
    ]
    return values


def _service_tables(tree: dict[str, Any]) -> dict[str, dict[str, Any]]:
    services = tree.get("services", {})
    if not isinstance(services, dict):
        return {}
    return {
        name: table
        for name, table in services.items()
        if isinstance(table, dict)
    }


def _slices_of_unkeyed(tree: dict[str, Any]) -> list[Problem]:
    return [
        _make_problem(
            f"services.{name}.slices",
            "no such key for a service that is not keyed",
            table["slices"],
        )
        for name, table in _service_tables(tree).items()
        if "slices" in table and table.get("keyed", False) is False
    ]


def _unknown_profiles(
    document: Document, tree: dict[str, Any]
) -> list[Problem]:
    # A profile whose own keys are invalid still counts as declared, so
    # that services that refer to it are not reported as well.
    declared = tree.get("profiles", {})
    known = set(document.profiles)
    known |= set(declared) if isinstance(declared, dict) else set()
    return [
        _make_problem(
            f"services.{service.name}.profile",
            f"one of the profiles {', '.join(sorted(known))}",
            service.profile,
        )
        for service in document.services.values()
        if service.profile not in known
    ]


def _duplicate_prefixes(document: Document) -> list[Problem]:
    service_by_prefix: dict[str, str] = {}
    problems = []
    for service in document.services.values():
        prefix = service.path_prefix
        first_service = service_by_prefix.setdefault(prefix, service.name)
        if prefix and first_service != service.name:
            problems.append(
                _make_problem(
                    f"services.{service.name}.path_prefix",
                    f"a prefix that {first_service} does not use",
                    prefix,
                )
            )
    return problems


def _make_problem(key: str, expected: str, found: object) -> Problem:
    found_text = found if isinstance(found, str) else repr(found)
    return Problem(
        key=key, expected=expected, found=found_text[:_MAX_FOUND_CHARS]
    )
