"""Average load of units and keys, from their owners' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.peer.messages.load_report import LoadReport

_SAMPLE_WEIGHT = 0.5
_RATE_MIN_PER_S = 0.01


class LoadAverages:
    """
    Exponential moving averages of requests per second.

    Units are counted by service, keys and totals by session. A new
    report weighs one half. Units and keys that a report does not
    list count as zero in it.
    """

    __slots__ = ("_keys", "_totals", "_units")

    def __init__(self) -> None:
        self._units: dict[str, dict[int, float]] = {}
        self._keys: dict[int, dict[int, float]] = {}
        self._totals: dict[int, float] = {}

    def add(self, report: LoadReport, owned: list[int]) -> None:
        """
        Add a report to the averages.

        :param owned: the units that the reporting session owns.
        """
        period_s = max(report.period_s, 1e-3)
        units = self._units.setdefault(report.service, {})
        for unit in owned:
            _decay(units, unit)
        for unit, count in zip(
            report.units, report.unit_requests, strict=False
        ):
            _add_sample(units, unit, count / period_s)
        keys = self._keys.setdefault(report.session_id, {})
        for key in list(keys):
            _decay(keys, key)
        for key, count in zip(report.keys, report.key_requests, strict=False):
            _add_sample(keys, key, count / period_s)
        self._totals[report.session_id] = report.requests / period_s

    def units(self, service: str) -> dict[int, float]:
        """Return requests per second of the reported units."""
        return self._units.get(service, {})

    def keys(self, sessions: list[int]) -> dict[int, float]:
        """
        Return requests per second of the sessions' reported keys.

        A key that several sessions reported has its highest rate.
        """
        rates: dict[int, float] = {}
        for session in sessions:
            for key, rate in self._keys.get(session, {}).items():
                rates[key] = max(rate, rates.get(key, 0.0))
        return rates

    def keep(self, sessions: set[int]) -> None:
        """Remove the key rates and totals of all other sessions."""
        for removed in set(self._totals) - sessions:
            self._totals.pop(removed, None)
            self._keys.pop(removed, None)

    def total(self, sessions: list[int]) -> float:
        """Return the requests per second of the sessions in total."""
        return sum(self._totals.get(session, 0.0) for session in sessions)


def _decay(rates: dict[int, float], key: int) -> None:
    if key not in rates:
        return
    rates[key] *= 1 - _SAMPLE_WEIGHT
    if rates[key] < _RATE_MIN_PER_S:
        del rates[key]


def _add_sample(rates: dict[int, float], key: int, rate: float) -> None:
    rates[key] = rates.get(key, 0.0) + _SAMPLE_WEIGHT * rate
