"""The platform's log behind one interface."""

from __future__ import annotations

from burdockgap.platform.errors import (
    LogError,
    LogTrimmed,
    LogUnavailable,
    LogUncertain,
)
from burdockgap.platform.log import Log
from burdockgap.platform.page import Page

__all__ = [
    "Log",
    "LogError",
    "LogTrimmed",
    "LogUnavailable",
    "LogUncertain",
    "Page",
]
