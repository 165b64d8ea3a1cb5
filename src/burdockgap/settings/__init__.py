"""Settings of a process: their declaration, loader and values."""

from __future__ import annotations

from burdockgap.settings.load import load_settings, parse_settings
from burdockgap.settings.problem import Problem
from burdockgap.settings.settings import Settings

__all__ = ["Problem", "Settings", "load_settings", "parse_settings"]
