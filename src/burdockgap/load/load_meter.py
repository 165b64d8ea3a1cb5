"""Load of this daemon's units since the last report."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from burdockgap.load.key_sketch import KeySketch
from burdockgap.peer.messages.load_report import LoadReport

if TYPE_CHECKING:
    from burdockgap.clock import Clock

_SKETCH_KEYS = 64
_REPORTED_KEYS = 8
_REPORTED_UNITS = 16


class LoadMeter:
    """
    Counts dispatched requests by unit and by key.

    :param clock: source of elapsed time.
    """

    __slots__ = ("_clock", "_keys", "_requests", "_since", "_units")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keys = KeySketch(_SKETCH_KEYS)
        self._units: Counter[int] = Counter()
        self._requests = 0
        self._since = clock.now()

    def add(self, key_hash: int, unit: int) -> None:
        """Count one dispatched request."""
        self._requests += 1
        self._units[unit] += 1
        self._keys.add(key_hash)

    def take_report(self, session_id: int, service: str) -> LoadReport:
        """Return the load since the last report; reset the counts."""
        now = self._clock.now()
        units = self._units.most_common(_REPORTED_UNITS)
        keys = self._keys.top(_REPORTED_KEYS)
        report = LoadReport(
            session_id=session_id,
            service=service,
            period_s=now - self._since,
            requests=self._requests,
            units=[unit for unit, _ in units],
            unit_requests=[count for _, count in units],
            keys=[key for key, _ in keys],
            key_requests=[count for _, count in keys],
        )
        self._since = now
        self._requests = 0
        self._units.clear()
        self._keys.clear()
        return report
