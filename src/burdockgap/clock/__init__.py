"""Time sources behind one interface."""

from __future__ import annotations

from burdockgap.clock.boot import BootClock
from burdockgap.clock.clock import Clock

__all__ = ["BootClock", "Clock"]
