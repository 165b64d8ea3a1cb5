"""The statements of the scenario language, by topic."""

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
