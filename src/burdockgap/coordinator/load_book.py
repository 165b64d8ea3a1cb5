"""Load of units and keys, from the reports of their owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.peer.messages.load_report import LoadReport

_DECAY = 0.5
_FORGET_BELOW = 0.01


class LoadBook:
    """
    Moving averages of requests a second, by service.

    A report replaces half of what was known. Units that a report does
    not list fade.
    """

    __slots__ = ("_keys", "_totals", "_units")

    def __init__(self) -> None:
        self._units: dict[str, dict[int, float]] = {}
        self._keys: dict[int, dict[int, float]] = {}
        self._totals: dict[int, float] = {}

    def add(self, report: LoadReport, owned: list[int]) -> None:
        """
        Account for a report.

        :param owned: the units that the reporting session owns.
        """
        period_s = max(report.period_s, 1e-3)
        units = self._units.setdefault(report.service, {})
        for unit in owned:
            _fade(units, unit)
        for unit, count in zip(
            report.units, report.unit_requests, strict=False
        ):
            _blend(units, unit, count / period_s)
        keys = self._keys.setdefault(report.session_id, {})
        for key in list(keys):
            _fade(keys, key)
        for key, count in zip(report.keys, report.key_requests, strict=False):
            _blend(keys, key, count / period_s)
        self._totals[report.session_id] = report.requests / period_s

    def units(self, service: str) -> dict[int, float]:
        """Return requests a second of the busiest units."""
        return self._units.get(service, {})

    def keys(self, sessions: list[int]) -> dict[int, float]:
        """Return requests a second of some sessions' busiest keys."""
        rates: dict[int, float] = {}
        for session in sessions:
            for key, rate in self._keys.get(session, {}).items():
                rates[key] = max(rate, rates.get(key, 0.0))
        return rates

    def keep(self, sessions: set[int]) -> None:
        """Forget all other sessions."""
        for gone in set(self._totals) - sessions:
            self._totals.pop(gone, None)
            self._keys.pop(gone, None)

    def total(self, sessions: list[int]) -> float:
        """Return requests a second of some sessions together."""
        return sum(self._totals.get(session, 0.0) for session in sessions)


def _fade(rates: dict[int, float], key: int) -> None:
    if key not in rates:
        return
    rates[key] *= 1 - _DECAY
    if rates[key] < _FORGET_BELOW:
        del rates[key]


def _blend(rates: dict[int, float], key: int, rate: float) -> None:
    rates[key] = rates.get(key, 0.0) + _DECAY * rate
