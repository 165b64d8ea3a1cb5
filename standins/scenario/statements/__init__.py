"""The statements, by what they are about."""

from __future__ import annotations

from standins.scenario.statements import (
    cuts,
    expectations,
    faults,
    loads,
    operators,
    site,
    traffic,
)

__all__ = [
    "cuts",
    "expectations",
    "faults",
    "loads",
    "operators",
    "site",
    "traffic",
]
