"""Validation of changes between two configuration documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.config.problem import Problem

if TYPE_CHECKING:
    from burdockgap.config.document import Document
    from burdockgap.config.service_config import ServiceConfig


def check_change(old: Document, new: Document) -> list[Problem]:
    """
    Return the problems of replacing one document by another.

    The owner of a key depends on whether the service is keyed and on
    its number of slices. Neither may change while the service exists.
    """
    problems = []
    for name, service in new.services.items():
        old_service = old.services.get(name)
        if old_service is not None:
            problems += _check_service(old_service, service)
    return problems


def _check_service(old: ServiceConfig, new: ServiceConfig) -> list[Problem]:
    if old.keyed != new.keyed:
        return [
            _immutable_key_problem(new.name, "keyed", old.keyed, new.keyed)
        ]
    if old.slices != new.slices:
        return [
            _immutable_key_problem(new.name, "slices", old.slices, new.slices)
        ]
    return []


def _immutable_key_problem(
    service: str, key: str, old: object, new: object
) -> Problem:
    return Problem(
        key=f"services.{service}.{key}",
        expected=f"{old} as before; it is fixed for an existing service",
        found=str(new),
    )
