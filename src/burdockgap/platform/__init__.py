"""The platform's log behind one interface."""

from __future__ import annotations

from burdockgap.platform.errors import LogError, LogUnavailable, LogUncertain
from burdockgap.platform.log import Log
from burdockgap.platform.page import Page

__all__ = ["Log", "LogError", "LogUnavailable", "LogUncertain", "Page"]
