"""Exchange of suspected requests between daemons."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from burdockgap.fleet.datagrams import SUSPECTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.suspect_book import SuspectBook

_INTERVAL_S = 1.0
_MAX_ANSWER_DELAY_S = 0.25
"""The first of the daemons that know an answer tells the others, which
then need not."""


class SuspectExchange:
    """
    Makes all daemons know the requests that crash targets.

    A crash is announced to all members, and all suspects are sent to
    members that start again. Quarantined ones are also sent to one
    random member a second, as datagrams may be lost. A daemon that
    knows that a suspect got a complete response tells the others.

    :param datagrams: sends and receives the suspects.
    :param roster: the members.
    :param suspects: what is known here.
    :param on_event: logs an event with its fields.
    """

    __slots__ = (
        "_datagrams",
        "_incarnations",
        "_loop",
        "_on_event",
        "_pending_answers",
        "_roster",
        "_suspects",
    )

    def __init__(
        self,
        *,
        datagrams: Datagrams,
        roster: Roster,
        suspects: SuspectBook,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._datagrams = datagrams
        self._roster = roster
        self._suspects = suspects
        self._on_event = on_event
        self._incarnations: dict[str, int] = {}
        self._pending_answers: dict[tuple[str, int], asyncio.TimerHandle] = {}
        datagrams.handlers[SUSPECTS] = self._receive

    async def run(self) -> None:
        """Send quarantined requests to others until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S * random.uniform(0.9, 1.1))
            others = self._roster.live()[1:]
            exports = self._suspects.export_quarantined() if others else []
            for values in exports:
                self._send(random.choice(others), values)

    def announce(self, service: str) -> None:
        """Send the suspects of a service to all members."""
        self._broadcast(self._suspects.export(service))

    def member_heard(self, member: Member) -> None:
        """Send the suspects to a member that was started again."""
        if self._incarnations.get(member.name) != member.incarnation:
            self._incarnations[member.name] = member.incarnation
            for values in self._suspects.export_all():
                self._send(member, values)

    def _send(self, member: Member, values: list[Any]) -> None:
        self._datagrams.send(member.address, SUSPECTS, values)

    def _broadcast(self, values: list[Any]) -> None:
        for entry in self._roster.entries():
            self._datagrams.send(entry.member.address, SUSPECTS, values)

    def _receive(self, payload: list[Any]) -> None:
        merged = self._suspects.merge(payload[0])
        for fingerprint in merged.answered_elsewhere:
            pending = self._pending_answers.pop(
                (merged.service, fingerprint), None
            )
            if pending is not None:
                pending.cancel()
        for fingerprint in merged.answered_here:
            self._tell_later(merged.service, fingerprint)

    def _tell_later(self, service: str, fingerprint: int) -> None:
        """Tell of an answer unless another daemon does."""
        if (service, fingerprint) in self._pending_answers:
            return
        self._pending_answers[service, fingerprint] = self._loop.call_later(
            random.uniform(0, _MAX_ANSWER_DELAY_S),
            self._tell_answer,
            service,
            fingerprint,
        )

    def _tell_answer(self, service: str, fingerprint: int) -> None:
        del self._pending_answers[service, fingerprint]
        answer = self._suspects.export_answer(service, fingerprint)
        if answer is None:
            return
        self._on_event(
            "suspect_cleared", {"service": service, "request": fingerprint}
        )
        self._broadcast(answer)
