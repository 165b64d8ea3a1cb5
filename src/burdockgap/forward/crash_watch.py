"""Detection of requests that crash the target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.gate.fingerprint import fingerprint_of
from burdockgap.gate.messages.suspect import Suspect
from burdockgap.gate.messages.suspects import Suspects
from burdockgap.gate.quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.forward.call import Call

_BLAME_WINDOW_S = 1.5
"""A request whose connection was lost at most this long before the end
of the target is detected may have caused it. The end is detected at the
next connection or announcement."""
_MAX_LOST_REQUESTS = 256


class CrashWatch:
    """
    Blames requests whose connections were lost when the target ended.

    :param service: the target's service.
    :param clock: the time source.
    :param broadcast: sends the suspects, as a list of plain values, to
        other daemons.
    :param on_event: logs a crash.
    """

    __slots__ = ("_clock", "_lost", "_on_event", "_quarantine", "_broadcast")

    def __init__(
        self,
        *,
        service: str,
        clock: Clock,
        broadcast: Callable[[list[Any]], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._clock = clock
        self._broadcast = broadcast
        self._on_event = on_event
        self._quarantine = Quarantine(service=service, clock=clock)
        self._lost: list[tuple[float, int, int, str]] = []

    def check(self, call: Call) -> None:
        """
        Refuse a request that was in flight at two crashes.

        :raises Refusal: with ``not-run``.
        """
        self._quarantine.check(_fingerprint(call))

    def answered(self, call: Call) -> None:
        """Stop suspecting a request that got a complete response."""
        self._quarantine.answered(_fingerprint(call))

    def connection_lost(self, call: Call, born: int) -> None:
        """
        Record a request whose connection was lost.

        :param born: start time of the target process.
        """
        now = self._clock.now()
        self._lost.append((now, born, _fingerprint(call), call.request_id))
        del self._lost[:-_MAX_LOST_REQUESTS]

    def target_ended(self, born: int) -> None:
        """
        Blame the requests that were lost when a process ended.

        :param born: start time of the target process.
        """
        now = self._clock.now()
        since = now - _BLAME_WINDOW_S
        lost = [entry for entry in self._lost if entry[1] == born]
        blamed = [entry for entry in lost if entry[0] > since]
        self._lost = [entry for entry in self._lost if entry[1] != born]
        self._log_end(born, lost, now)
        if not blamed:
            return
        self._quarantine.crashed(str(born), [entry[2] for entry in blamed])
        self._on_event(
            "target_crashed",
            {"born": born, "in_flight_ids": [entry[3] for entry in blamed]},
        )
        suspects = self._quarantine.export()
        self._broadcast(
            [
                suspects.service,
                [
                    [entry.fingerprint, entry.crashes, entry.age_s]
                    for entry in suspects.entries
                ],
            ]
        )

    def _log_end(
        self, born: int, lost: list[tuple[float, int, int, str]], now: float
    ) -> None:
        """Log which lost requests an end was and was not blamed on."""
        since = now - _BLAME_WINDOW_S
        fields: dict[str, object] = {
            "born": born,
            "blamed_ids": [entry[3] for entry in lost if entry[0] > since],
            "not_blamed": [
                [entry[3], round(now - entry[0], 3)]
                for entry in lost
                if entry[0] <= since
            ],
        }
        self._on_event("target_ended", fields)

    def merge(self, values: list[Any]) -> None:
        """Merge another daemon's suspects."""
        service, entries = values
        self._quarantine.merge(
            Suspects(
                service=service,
                entries=[
                    Suspect(fingerprint=number, crashes=crashes, age_s=age_s)
                    for number, crashes, age_s in entries
                ],
            )
        )


def _fingerprint(call: Call) -> int:
    return fingerprint_of(call.method, call.target, call.body)
