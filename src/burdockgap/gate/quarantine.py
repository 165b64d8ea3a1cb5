"""The refusal of requests that crash each target that runs them."""

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

_BLOCK_S = 60.0
_MEMORY_S = 600.0
_CRASHES_TO_BLOCK = 2
_CRASHES_KEPT = 8
_MAX_SUSPECTS = 4096
_EXPORT_ENTRIES = 16
_ACQUITTED_S = 10.0
_MAX_ACQUITTED = 4096
_CRASH_ID_BYTES = 8
_MASK = (1 << 63) - 1


class Quarantine:
    """
    Fingerprints that were in flight when a target crashed.

    One that was there at two crashes is refused for 60 s after the
    newer one. Being in flight beside it once has no effect, and a whole
    answer takes back all blame: what crashes each target never has one.
    Requests that many callers send are in flight at most crashes, so
    one that was answered in the last 10 s is not blamed at all.

    :param service: the target's service.
    :param clock: the time source.
    """

    __slots__ = (
        "_acquitted",
        "_clock",
        "_crash",
        "_crashes",
        "_newest",
        "service",
    )

    def __init__(self, *, service: str, clock: Clock) -> None:
        self.service = service
        self._clock = clock
        self._crashes: dict[int, set[int]] = {}
        self._newest: dict[int, float] = {}
        self._acquitted: dict[int, float] = {}
        self._crash = anyio.Event()

    def crashed(self, boot_id: str, fingerprints: Iterable[int]) -> None:
        """
        Take the crash of a target.

        :param boot_id: the crashed process.
        :param fingerprints: what it had in flight.
        """
        self._forget_old()
        crash = crash_id(boot_id)
        for fingerprint in set(fingerprints):
            self._add(fingerprint, [crash], self._clock.now())
        self._crash.set()
        self._crash = anyio.Event()

    async def wait_crash(self) -> None:
        """Wait for the next crash of the own target."""
        await self._crash.wait()

    def answered(self, fingerprint: int) -> None:
        """Take the whole answer to a request."""
        if fingerprint in self._crashes:
            self._forget(fingerprint)
        self._acquitted.pop(fingerprint, None)
        self._acquitted[fingerprint] = self._clock.now()
        if len(self._acquitted) > _MAX_ACQUITTED:
            del self._acquitted[next(iter(self._acquitted))]

    def check(self, fingerprint: int) -> None:
        """
        Refuse a request that crashes targets.

        :raises Refusal: with ``not-run``.
        """
        if not self.blocks(fingerprint):
            return
        detail = "This request was running at two crashes; change it."
        raise Refusal(Verdict.NOT_RUN, Reason.QUARANTINED, detail)

    def blocks(self, fingerprint: int) -> bool:
        """Tell whether a fingerprint is refused now."""
        crashes = self._crashes.get(fingerprint, ())
        if len(crashes) < _CRASHES_TO_BLOCK:
            return False
        return self._clock.now() < self._newest[fingerprint] + _BLOCK_S

    def export(self) -> Suspects:
        """Return the newest suspects, to be told to other daemons."""
        self._forget_old()
        newest = sorted(self._newest, key=self._newest.__getitem__)
        return Suspects(
            service=self.service,
            entries=[self._entry(fp) for fp in newest[-_EXPORT_ENTRIES:]],
        )

    def merge(self, suspects: Suspects) -> None:
        """Take another daemon's suspects, in any order, also again."""
        if suspects.service != self.service:
            return
        for entry in suspects.entries:
            at = self._clock.now() - max(entry.age_s, 0.0)
            self._add(entry.fingerprint, entry.crashes, at)

    def _entry(self, fingerprint: int) -> Suspect:
        return Suspect(
            fingerprint=fingerprint,
            crashes=sorted(self._crashes[fingerprint]),
            age_s=self._clock.now() - self._newest[fingerprint],
        )

    def _add(
        self, fingerprint: int, crashes: Iterable[int], at: float
    ) -> None:
        answered_at = self._acquitted.get(fingerprint, -math.inf)
        if at < answered_at + _ACQUITTED_S:
            return
        known = self._crashes.setdefault(fingerprint, set())
        if known.issuperset(crashes):
            # An echo must not move the time on.
            return
        known.update(crashes)
        while len(known) > _CRASHES_KEPT:
            known.remove(min(known))
        newest = self._newest.get(fingerprint, at)
        self._newest[fingerprint] = max(newest, at)
        if len(self._newest) > _MAX_SUSPECTS:
            self._forget(min(self._newest, key=self._newest.__getitem__))

    def _forget_old(self) -> None:
        bar = self._clock.now() - _MEMORY_S
        for fingerprint, at in list(self._newest.items()):
            if at < bar:
                self._forget(fingerprint)

    def _forget(self, fingerprint: int) -> None:
        del self._crashes[fingerprint]
        del self._newest[fingerprint]


def crash_id(boot_id: str) -> int:
    """Return the 63-bit id of the crash of a target process."""
    digest = hashlib.blake2b(
        boot_id.encode(), digest_size=_CRASH_ID_BYTES
    ).digest()
    return int.from_bytes(digest, "little") & _MASK
