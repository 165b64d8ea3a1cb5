"""The requests suspected of crashing targets, of all services."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgpack

from burdockgap.forward.merged_suspects import MergedSuspects
from burdockgap.gate.messages.suspect import Suspect
from burdockgap.gate.messages.suspects import Suspects
from burdockgap.gate.quarantine import Quarantine
from burdockgap.wire.checks import check_integer, check_number, check_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock

_MAX_SERVICES = 256
_GROWTH = 4.0
"""Factor per further crash, as some callers never stop sending."""
_SHARED_QUARANTINE_S = 2.0
"""Of several requests that were running at the same crashes, most are
sound. The next response or crash tells them apart."""


class SuspectBook:
    """
    One quarantine per service.

    Daemons of other services keep the suspects as well: they refuse
    such requests of their own callers, and tell daemons that start
    again.

    :param clock: the time source.
    :ivar on_own_change: called when a request was quarantined for a
        crash of this daemon's target, a further crash is known, or the
        request is no suspect any more.
    """

    __slots__ = ("_clock", "_own", "_quarantines", "on_own_change")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quarantines: dict[str, Quarantine] = {}
        # Crashes at the last call of on_own_change, by request; 0 while
        # it is not in quarantine.
        self._own: dict[tuple[str, int], int] = {}
        self.on_own_change: Callable[[], None] = lambda: None

    def blocked_for_s(self, service: str, fingerprint: int) -> float:
        """Return how long a request is still quarantined, or 0."""
        quarantine = self._quarantines.get(service)
        return quarantine.blocked_for_s(fingerprint) if quarantine else 0.0

    def was_quarantined(self, service: str, fingerprint: int) -> bool:
        """Return whether a suspect is or has been quarantined."""
        quarantine = self._quarantines.get(service)
        return quarantine is not None and quarantine.was_quarantined(
            fingerprint
        )

    def answered(self, service: str, fingerprint: int) -> None:
        """Record the complete response to a request."""
        self._of(service).answered(fingerprint)
        if (service, fingerprint) in self._own:
            self._note_own()

    def crashed(
        self, service: str, crash: str, fingerprints: list[int]
    ) -> None:
        """
        Record the crash of a target.

        :param crash: identifies the process that crashed.
        :param fingerprints: the requests that are blamed for it.
        """
        self._of(service).crashed(crash, fingerprints)
        for fingerprint in fingerprints:
            self._own.setdefault((service, fingerprint), 0)
        self._note_own()

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

    def export_quarantined(self) -> list[list[Any]]:
        """Return of :meth:`export_all` what is or was quarantined."""
        exports = [
            [
                service,
                [row for row in rows if self.was_quarantined(service, row[0])],
            ]
            for service, rows in self.export_all()
        ]
        return [values for values in exports if values[1]]

    def export_answer(
        self, service: str, fingerprint: int
    ) -> list[Any] | None:
        """
        Return for :meth:`merge` that a request was answered.

        :return: ``None`` if that is not known any more.
        """
        age_s = self._of(service).answered_age_s(fingerprint)
        if math.isinf(age_s):
            return None
        return [service, [[fingerprint, [], age_s]]]

    def merge(self, values: list[Any]) -> MergedSuspects:
        """
        Add what another daemon knows.

        :raises ValueError: if the values are not those of an export.
        """
        service, rows = values
        check_text(service, "service")
        entries = [_decode(row) for row in rows]
        quarantine = self._of(service)
        answered_elsewhere: list[int] = []
        suspects: list[Suspect] = []
        for entry in entries:
            if entry.crashes:
                suspects.append(entry)
            else:
                quarantine.clear(entry.fingerprint, entry.age_s)
                answered_elsewhere.append(entry.fingerprint)
        answered_here = quarantine.merge(
            Suspects(service=service, entries=suspects)
        )
        self._note_own()
        return MergedSuspects(
            service=service,
            answered_here=answered_here,
            answered_elsewhere=answered_elsewhere,
        )

    @property
    def has_own(self) -> bool:
        """Whether this target's crashes put requests in quarantine."""
        return any(self._own.values())

    def encode_own(self) -> bytes:
        """Return these requests as bytes for :meth:`merge_stored`."""
        now = self._clock.wall()
        rows: list[list[Any]] = []
        for (service, fingerprint), crashes in self._own.items():
            entry = self._of(service).find(fingerprint)
            if crashes and entry is not None:
                at_ms = int((now - entry.age_s) * 1000)
                rows.append([service, fingerprint, entry.crashes, at_ms])
        data: bytes = msgpack.packb(rows)
        return data

    def merge_stored(self, data: bytes, *, own: bool) -> None:
        """
        Add what a daemon has stored.

        :param own: whether an earlier run of this daemon has.
        :raises ValueError: if the bytes are malformed.
        """
        now = self._clock.wall()
        try:
            for service, fingerprint, crashes, at_ms in msgpack.unpackb(data):
                at_s = check_integer(at_ms, "at_ms") / 1000
                age_s = max(now - at_s, 0.0)
                self.merge([service, [[fingerprint, crashes, age_s]]])
                if own:
                    self._own[service, fingerprint] = len(crashes)
        except (TypeError, ValueError) as exc:
            raise ValueError(f"malformed suspects: {exc}") from exc

    def _note_own(self) -> None:
        """Report changes of what :meth:`encode_own` returns."""
        has_changed = False
        for (service, fingerprint), reported in list(self._own.items()):
            quarantine = self._of(service)
            entry = quarantine.find(fingerprint)
            if entry is None:
                del self._own[service, fingerprint]
                has_changed = has_changed or reported > 0
            elif quarantine.blocks(fingerprint):
                has_changed = has_changed or len(entry.crashes) > reported
                self._own[service, fingerprint] = len(entry.crashes)
        if has_changed:
            self.on_own_change()

    def _of(self, service: str) -> Quarantine:
        quarantine = self._quarantines.get(service)
        if quarantine is None:
            if len(self._quarantines) >= _MAX_SERVICES:
                raise ValueError(
                    f"suspects of more than {_MAX_SERVICES} services"
                )
            quarantine = Quarantine(
                service=service,
                clock=self._clock,
                growth=_GROWTH,
                shared_s=_SHARED_QUARANTINE_S,
            )
            self._quarantines[service] = quarantine
        return quarantine


def _decode(row: list[Any]) -> Suspect:
    fingerprint, crashes, age_s = row
    return Suspect(
        fingerprint=check_integer(fingerprint, "fingerprint"),
        crashes=[check_integer(crash, "crash") for crash in crashes],
        age_s=check_number(age_s, "age"),
    )
