"""What may not change from one document to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.config.problem import Problem

if TYPE_CHECKING:
    from burdockgap.config.document import Document
    from burdockgap.config.service_config import ServiceConfig


def check_change(old: Document, new: Document) -> list[Problem]:
    """
    Return the problems of replacing one document by another.

    Whether a service is keyed, and its number of slices, decide who
    owns a key; neither may change while the service exists.
    """
    problems = []
    for name, service in new.services.items():
        before = old.services.get(name)
        if before is not None:
            problems += _check_service(before, service)
    return problems


def _check_service(old: ServiceConfig, new: ServiceConfig) -> list[Problem]:
    if old.keyed != new.keyed:
        return [_fixed(new.name, "keyed", old.keyed, new.keyed)]
    if old.slices != new.slices:
        return [_fixed(new.name, "slices", old.slices, new.slices)]
    return []


def _fixed(service: str, key: str, old: object, new: object) -> Problem:
    return Problem(
        key=f"services.{service}.{key}",
        expected=f"{old} as before; it is fixed for an existing service",
        found=str(new),
    )
