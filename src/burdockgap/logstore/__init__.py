"""The platform's log behind one interface."""

from __future__ import annotations

from burdockgap.logstore.errors import (
    LogError,
    LogTrimmed,
    LogUnavailable,
    LogUncertain,
)
from burdockgap.logstore.log import Log
from burdockgap.logstore.page import Page

__all__ = [
    "Log",
    "LogError",
    "LogTrimmed",
    "LogUnavailable",
    "LogUncertain",
    "Page",
]
