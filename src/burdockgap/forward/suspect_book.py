"""The requests suspected of crashing targets, of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.gate.messages.suspect import Suspect
from burdockgap.gate.messages.suspects import Suspects
from burdockgap.gate.quarantine import Quarantine
from burdockgap.wire.checks import check_integer, check_number, check_text

if TYPE_CHECKING:
    from burdockgap.clock import Clock

_MAX_SERVICES = 256


class SuspectBook:
    """
    One quarantine per service.

    Daemons of other services keep the suspects as well: they refuse
    such requests of their own callers, and tell daemons that start
    again.

    :param clock: the time source.
    """

    __slots__ = ("_clock", "_quarantines")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quarantines: dict[str, Quarantine] = {}

    def blocked_for_s(self, service: str, fingerprint: int) -> float:
        """Return how long a request is still quarantined, or 0."""
        quarantine = self._quarantines.get(service)
        return quarantine.blocked_for_s(fingerprint) if quarantine else 0.0

    def answered(self, service: str, fingerprint: int) -> None:
        """Record the complete response to a request."""
        self._of(service).answered(fingerprint)

    def crashed(
        self, service: str, crash: str, fingerprints: list[int]
    ) -> None:
        """
        Record the crash of a target.

        :param crash: identifies the process that crashed.
        :param fingerprints: the requests that are blamed for it.
        """
        self._of(service).crashed(crash, fingerprints)

    def has_suspects(self, service: str) -> bool:
        """Return whether any request to a service is suspected."""
        quarantine = self._quarantines.get(service)
        return quarantine is not None and quarantine.has_suspects

    def export(self, service: str) -> list[Any]:
        """Return the suspects of a service for :meth:`merge`."""
        suspects = self._of(service).export()
        rows = [
            [entry.fingerprint, entry.crashes, entry.age_s]
            for entry in suspects.entries
        ]
        return [service, rows]

    def export_all(self) -> list[list[Any]]:
        """Return the suspects of each service that has any."""
        exports = [self.export(service) for service in self._quarantines]
        return [values for values in exports if values[1]]

    def export_answer(self, service: str, fingerprint: int) -> list[Any]:
        """Return for :meth:`merge` that a request was answered."""
        age_s = self._of(service).answered_age_s(fingerprint)
        return [service, [[fingerprint, [], age_s]]]

    def merge(self, values: list[Any]) -> tuple[str, list[int], list[int]]:
        """
        Add what another daemon knows.

        :return: the service, the requests that got a complete response
            here of which the other daemon does not know, and those that
            got one elsewhere.
        :raises ValueError: if the values are not those of an export.
        """
        service, rows = values
        check_text(service, "service")
        entries = [_decode(row) for row in rows]
        quarantine = self._of(service)
        answers = [entry for entry in entries if not entry.crashes]
        for answer in answers:
            quarantine.clear(answer.fingerprint, answer.age_s)
        suspects = [entry for entry in entries if entry.crashes]
        answered_here = quarantine.merge(
            Suspects(service=service, entries=suspects)
        )
        answered_elsewhere = [answer.fingerprint for answer in answers]
        return service, answered_here, answered_elsewhere

    def _of(self, service: str) -> Quarantine:
        quarantine = self._quarantines.get(service)
        if quarantine is None:
            if len(self._quarantines) >= _MAX_SERVICES:
                raise ValueError(
                    f"suspects of more than {_MAX_SERVICES} services"
                )
            quarantine = Quarantine(service=service, clock=self._clock)
            self._quarantines[service] = quarantine
        return quarantine


def _decode(row: list[Any]) -> Suspect:
    fingerprint, crashes, age_s = row
    return Suspect(
        fingerprint=check_integer(fingerprint, "fingerprint"),
        crashes=[check_integer(crash, "crash") for crash in crashes],
        age_s=check_number(age_s, "age"),
    )
