"""Detection of requests that crash the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.forward.lost_request import LostRequest
from burdockgap.forward.lost_requests import LostRequests
from burdockgap.forward.quarantined import Quarantined
from burdockgap.gate.fingerprint import fingerprint_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.forward.call import Call
    from burdockgap.forward.suspect_book import SuspectBook

_MAX_HEARTBEAT_DELAY_S = 0.3
"""A heartbeat may be sent before a crash and arrive this much later."""


class CrashWatch:
    """
    Blames requests whose connections were lost when the target ended.

    :param name: name of this daemon, which tells apart the crashes of
        processes with the same start time.
    :param service: the target's service.
    :param clock: the time source.
    :param suspects: the requests suspected of crashing targets.
    :param on_crash: called after a crash that requests are blamed for.
    :param on_event: logs a crash.
    """

    __slots__ = (
        "_clock",
        "_lost",
        "_name",
        "_on_crash",
        "_on_event",
        "_service",
        "_suspects",
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        clock: Clock,
        suspects: SuspectBook,
        on_crash: Callable[[], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._name = name
        self._clock = clock
        self._service = service
        self._suspects = suspects
        self._on_crash = on_crash
        self._on_event = on_event
        self._lost = LostRequests()

    def check(self, call: Call) -> None:
        """
        Refuse a request that was in flight at two crashes.

        :raises Quarantined: with ``not-run``.
        """
        left_s = self.blocked_for_s(call)
        if left_s > 0:
            raise Quarantined(left_s)

    def blocked_for_s(self, call: Call) -> float:
        """Return how long a request is refused from now on, or 0."""
        if not self._suspects.has_suspects(call.service):
            return 0.0
        return self._suspects.blocked_for_s(call.service, _fingerprint(call))

    def may_retry(self, call: Call) -> bool:
        """Return whether a request may be sent to a second target."""
        return not (
            self._suspects.has_suspects(call.service)
            and self._suspects.was_quarantined(
                call.service, _fingerprint(call)
            )
        )

    def answered(self, call: Call) -> None:
        """Stop suspecting a request that got a complete response."""
        self._suspects.answered(call.service, _fingerprint(call))

    def connection_lost(self, call: Call, born: int) -> None:
        """
        Record a request whose connection was lost.

        :param born: start time of the target process.
        """
        self._lost.add(
            LostRequest(
                request_id=call.request_id,
                fingerprint=_fingerprint(call),
                born=born,
                at=self._clock.now(),
                closed=True,
            )
        )

    def gave_up(self, call: Call, born: int, after_s: float) -> None:
        """
        Record a request that was given up before its response.

        :param born: start time of the target process.
        :param after_s: time since it was sent, in seconds.
        """
        self._lost.add(
            LostRequest(
                request_id=call.request_id,
                fingerprint=_fingerprint(call),
                born=born,
                at=self._clock.now() - after_s,
                closed=False,
            )
        )

    def target_responded(
        self, born: int, took_s: float, connected_s: float
    ) -> None:
        """
        Note the response of a process to a request.

        :param born: start time of the process that was sent it, unless
            the next one had taken its place unheard.
        :param took_s: time since the request was sent, in seconds.
        :param connected_s: time since the connection was opened, in
            seconds.
        """
        now = self._clock.now()
        self._lost.note_responded(born, now - connected_s, now - took_s)

    def target_announced(self, born: int) -> None:
        """
        Note the heartbeat of a process.

        :param born: start time of the process.
        """
        sent_at = self._clock.now() - _MAX_HEARTBEAT_DELAY_S
        self._lost.note_announced(born, sent_at)

    def target_ended(self, born: int) -> None:
        """
        Blame the requests that were lost when a process ended.

        :param born: start time of the target process.
        """
        now = self._clock.now()
        blamed, others = self._lost.take(born, now)
        if blamed or others:
            fields: dict[str, object] = {
                "born": born,
                "blamed": _ages(blamed, now),
                "not_blamed": _ages(others, now),
            }
            self._on_event("target_ended", fields)
        if not blamed:
            return
        self._suspects.crashed(
            self._service,
            f"{self._name}/{born}",
            [lost.fingerprint for lost in blamed],
        )
        ids = [lost.request_id for lost in blamed]
        self._on_event("target_crashed", {"born": born, "in_flight_ids": ids})
        self._on_crash()


def _ages(lost: list[LostRequest], now: float) -> list[list[object]]:
    """Return ids and the times since the loss, in seconds."""
    return [[item.request_id, round(now - item.at, 3)] for item in lost]


def _fingerprint(call: Call) -> int:
    return fingerprint_of(call.method, call.target, call.body)
