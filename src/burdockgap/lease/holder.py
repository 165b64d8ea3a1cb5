"""The holder's side of one session's lease."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from burdockgap.lease.counters import IGNORED
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.quorum import renewals_needed
from burdockgap.lease.renewals import Renewals
from burdockgap.records.streams import CONFIG, CONTROL

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.clock import Clock
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.lease.messages.ack import Ack
    from burdockgap.lease.sender import Sender
    from burdockgap.lease.timing import LeaseTiming
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.records.witness_ref import WitnessRef


class LeaseHolder:
    """
    Renews one session's lease and computes when it expires.

    The lease of a session that names no witnesses never expires.

    :param entry: the session as admitted.
    :param clock: the source of elapsed time.
    :param timing: the durations of the lease protocol.
    :param folds: the folded state, whose offsets the renewals carry.
    :ivar withheld: whether renewals are suspended.
    """

    __slots__ = (
        "_clock",
        "_folds",
        "_renewals",
        "_timing",
        "session_id",
        "withheld",
    )

    def __init__(
        self,
        entry: SessionEntry,
        *,
        clock: Clock,
        timing: LeaseTiming,
        folds: FoldView,
    ) -> None:
        self.session_id = entry.session_id
        self.withheld = False
        self._clock = clock
        self._timing = timing
        self._folds = folds
        self._renewals = {
            witness.incarnation: Renewals(witness)
            for witness in entry.witnesses
        }

    @property
    def witnesses(self) -> Iterable[WitnessRef]:
        """The witnesses that the session names."""
        return [renewals.witness for renewals in self._renewals.values()]

    def witness_address(self, incarnation: int) -> str:
        """Return a named witness's ``ip:port``, "" for any other."""
        renewals = self._renewals.get(incarnation)
        return renewals.witness.address if renewals else ""

    def expires_at(self) -> float:
        """
        Return the clock time at which the lease ends.

        The lease lasts from the latest time such that enough witnesses
        have acknowledged renewals sent then or later.
        """
        if not self._renewals:
            return math.inf
        acked = sorted(
            (renewals.acked_at for renewals in self._renewals.values()),
            reverse=True,
        )
        needed = renewals_needed(len(acked))
        return acked[needed - 1] + self._timing.duration_s

    def is_held(self, now: float) -> bool:
        """Tell whether the lease lasts beyond a clock time."""
        return now < self.expires_at()

    def withhold(self) -> None:
        """Suspend renewals, as if the daemon had stopped."""
        self.withheld = True

    def resume(self) -> None:
        """Resume renewals; witnesses that have promised ignore them."""
        self.withheld = False

    def make_renew(self, witness_incarnation: int) -> Renew:
        """
        Return the next renewal for a witness, counted as sent now.

        :param witness_incarnation: one of the named witnesses.
        """
        renewals = self._renewals[witness_incarnation]
        return Renew(
            session_id=self.session_id,
            witness_incarnation=witness_incarnation,
            seq=renewals.record_sent(self._clock.now()),
            config_offset=self._folds.offset(CONFIG),
            control_offset=self._folds.offset(CONTROL),
        )

    def on_ack(self, ack: Ack) -> bool:
        """
        Apply a witness's acknowledgement.

        :return: whether it matches a renewal of this lease.
        """
        if ack.session_id != self.session_id:
            IGNORED.labels("ack-session").inc()
            return False
        renewals = self._renewals.get(ack.witness_incarnation)
        if renewals is None:
            IGNORED.labels("ack-witness").inc()
            return False
        if not renewals.record_ack(ack.seq):
            IGNORED.labels("ack-seq").inc()
            return False
        return True

    async def run(self, sender: Sender) -> None:
        """Renew with every witness until cancelled."""
        async with anyio.create_task_group() as tasks:
            for witness in self.witnesses:
                tasks.start_soon(self._renew_with, witness, sender)

    async def _renew_with(self, witness: WitnessRef, sender: Sender) -> None:
        while True:
            if not self.withheld:
                renew = self.make_renew(witness.incarnation)
                sender.send(renew, witness.address)
            await anyio.sleep(self._timing.renew_s)
