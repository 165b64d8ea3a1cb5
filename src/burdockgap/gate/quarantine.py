"""Refusal of requests that crash every target that runs them."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

import anyio

from burdockgap.gate.messages.suspect import Suspect
from burdockgap.gate.messages.suspects import Suspects
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.clock import Clock

_QUARANTINE_S = 60.0
_MAX_QUARANTINE_S = 24 * 3600.0
_SUSPECT_TTL_S = 600.0
_CRASHES_TO_QUARANTINE = 2
_MAX_CRASHES_PER_SUSPECT = 8
_MAX_SUSPECTS = 4096
_MAX_EXPORTED_SUSPECTS = 16
_EXEMPT_AFTER_RESPONSE_S = 10.0
_MAX_ANSWERED = 4096
_CRASH_ID_BYTES = 8
_MASK_63_BITS = (1 << 63) - 1


class Quarantine:
    """
    Fingerprints that were in flight when a target crashed.

    A fingerprint that was in flight at two crashes is refused for 60 s
    after the later one. Being in flight at one crash has no effect, and
    a complete response clears the fingerprint, because a request that
    crashes every target never gets one. A request that many callers
    send is in flight at most crashes, so a fingerprint that got a
    complete response in the last 10 s is not counted.

    :param service: the target's service.
    :param clock: the time source.
    :param growth: factor by which each crash after the second one
        prolongs the quarantine.
    :param shared_s: duration of the first quarantine of a fingerprint
        whose crashes another suspect explains as well, in seconds.
    """

    __slots__ = (
        "_answered_at",
        "_clock",
        "_crash_event",
        "_crashes",
        "_growth",
        "_last_crash_at",
        "_shared_s",
        "service",
    )

    def __init__(
        self,
        *,
        service: str,
        clock: Clock,
        growth: float = 1.0,
        shared_s: float = _QUARANTINE_S,
    ) -> None:
        self.service = service
        self._growth = growth
        self._shared_s = shared_s
        self._clock = clock
        self._crashes: dict[int, set[int]] = {}
        self._last_crash_at: dict[int, float] = {}
        self._answered_at: dict[int, float] = {}
        self._crash_event = anyio.Event()

    def crashed(self, boot_id: str, fingerprints: Iterable[int]) -> None:
        """
        Record the crash of a target.

        :param boot_id: boot id of the crashed process.
        :param fingerprints: the requests that it had in flight.
        """
        self._evict_expired()
        crash = crash_id(boot_id)
        for fingerprint in set(fingerprints):
            self._add(fingerprint, [crash], self._clock.now())
        self._crash_event.set()
        self._crash_event = anyio.Event()

    async def wait_crash(self) -> None:
        """Wait for the next crash of this daemon's target."""
        await self._crash_event.wait()

    def answered(self, fingerprint: int) -> None:
        """Record the complete response to a request."""
        if fingerprint in self._crashes:
            self._evict(fingerprint)
        self._note_answered(fingerprint, self._clock.now())

    def check(self, fingerprint: int) -> None:
        """
        Refuse a quarantined request.

        :raises Refusal: with ``not-run``.
        """
        if not self.blocks(fingerprint):
            return
        detail = "This request was running at two crashes; change it."
        raise Refusal(Verdict.NOT_RUN, Reason.QUARANTINED, detail)

    def blocks(self, fingerprint: int) -> bool:
        """Return whether a fingerprint is quarantined now."""
        return self.blocked_for_s(fingerprint) > 0

    def blocked_for_s(self, fingerprint: int) -> float:
        """Return how long a fingerprint is still quarantined, or 0."""
        if fingerprint not in self._crashes:
            return 0.0
        ends_at = self._last_crash_at[fingerprint] + self._quarantine_s(
            fingerprint
        )
        return max(ends_at - self._clock.now(), 0.0)

    def was_quarantined(self, fingerprint: int) -> bool:
        """Return whether a suspect is or has been quarantined."""
        crashes = self._crashes.get(fingerprint, ())
        return len(crashes) >= _CRASHES_TO_QUARANTINE

    def answered_age_s(self, fingerprint: int) -> float:
        """Return the time since the last complete response, or inf."""
        answered_at = self._answered_at.get(fingerprint, -math.inf)
        return self._clock.now() - answered_at

    @property
    def has_suspects(self) -> bool:
        """Whether any fingerprint is suspected."""
        return bool(self._crashes)

    def find(self, fingerprint: int) -> Suspect | None:
        """Return what is known of a fingerprint, if it is suspected."""
        if fingerprint not in self._crashes:
            return None
        return self._entry(fingerprint)

    def export(self) -> Suspects:
        """
        Return suspects, to be sent to other daemons.

        Those in quarantine come first, then the latest ones.
        """
        self._evict_expired()
        by_rank = sorted(
            self._last_crash_at,
            key=lambda fp: (self.was_quarantined(fp), self._last_crash_at[fp]),
        )
        return Suspects(
            service=self.service,
            entries=[
                self._entry(fp) for fp in by_rank[-_MAX_EXPORTED_SUSPECTS:]
            ],
        )

    def merge(self, suspects: Suspects) -> list[int]:
        """
        Add another daemon's suspects, in any order or repeatedly.

        :return: those that are no suspects, as they got a complete
            response here that the other daemon does not know of.
        """
        if suspects.service != self.service:
            return []
        answered: list[int] = []
        for entry in suspects.entries:
            at = self._clock.now() - max(entry.age_s, 0.0)
            if self._was_answered(entry.fingerprint, at):
                answered.append(entry.fingerprint)
            else:
                self._add(entry.fingerprint, entry.crashes, at)
        return answered

    def clear(self, fingerprint: int, age_s: float) -> None:
        """
        Apply a complete response that another daemon received.

        :param age_s: time since the response, in seconds.
        """
        answered_at = self._clock.now() - max(age_s, 0.0)
        if answered_at > self._answered_at.get(fingerprint, -math.inf):
            self._note_answered(fingerprint, answered_at)
        if fingerprint in self._crashes and self._was_answered(
            fingerprint, self._last_crash_at[fingerprint]
        ):
            self._evict(fingerprint)

    def _entry(self, fingerprint: int) -> Suspect:
        return Suspect(
            fingerprint=fingerprint,
            crashes=sorted(self._crashes[fingerprint]),
            age_s=self._clock.now() - self._last_crash_at[fingerprint],
        )

    def _add(
        self, fingerprint: int, crashes: Iterable[int], at: float
    ) -> None:
        if self._was_answered(fingerprint, at):
            return
        known = self._crashes.get(fingerprint, set())
        if known.issuperset(crashes):
            # A repeated report must not prolong the quarantine.
            return
        self._crashes[fingerprint] = known
        known.update(crashes)
        while len(known) > _MAX_CRASHES_PER_SUSPECT:
            known.remove(min(known))
        newest = self._last_crash_at.get(fingerprint, at)
        self._last_crash_at[fingerprint] = max(newest, at)
        if len(self._last_crash_at) > _MAX_SUSPECTS:
            self._evict(
                min(self._last_crash_at, key=self._last_crash_at.__getitem__)
            )

    def _note_answered(self, fingerprint: int, at: float) -> None:
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = at
        if len(self._answered_at) > _MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]

    def _was_answered(self, fingerprint: int, crashed_at: float) -> bool:
        """Return whether a response exempts it from a crash."""
        answered_at = self._answered_at.get(fingerprint, -math.inf)
        return crashed_at < answered_at + _EXEMPT_AFTER_RESPONSE_S

    def _quarantine_s(self, fingerprint: int) -> float:
        more = len(self._crashes[fingerprint]) - _CRASHES_TO_QUARANTINE
        if more < 0:
            return 0.0
        is_shared = self._is_explained_by_another(fingerprint)
        first_s = self._shared_s if is_shared else _QUARANTINE_S
        return min(first_s * self._growth**more, _MAX_QUARANTINE_S)

    def _is_explained_by_another(self, fingerprint: int) -> bool:
        """Return whether another suspect was in flight each time."""
        crashes = self._crashes[fingerprint]
        return any(
            others.issuperset(crashes)
            for other, others in self._crashes.items()
            if other != fingerprint
        )

    def _evict_expired(self) -> None:
        now = self._clock.now()
        for fingerprint, at in list(self._last_crash_at.items()):
            # Callers may return when the quarantine ends.
            kept_s = self._quarantine_s(fingerprint) + _SUSPECT_TTL_S
            if now - at > kept_s:
                self._evict(fingerprint)

    def _evict(self, fingerprint: int) -> None:
        del self._crashes[fingerprint]
        del self._last_crash_at[fingerprint]


def crash_id(boot_id: str) -> int:
    """Return the 63-bit id of the crash of a target process."""
    digest = hashlib.blake2b(
        boot_id.encode(), digest_size=_CRASH_ID_BYTES
    ).digest()
    return int.from_bytes(digest, "little") & _MASK_63_BITS
