"""Non-idempotent calls, which run at most once."""

from __future__ import annotations

import asyncio
import copy
from typing import TYPE_CHECKING

from burdockgap.forward.dedup_cache import DedupCache
from burdockgap.forward.outcome import Outcome
from burdockgap.hop.peer_session import CALLER_CONNECTION_LOST
from burdockgap.resources.charge import Charge
from burdockgap.resources.charge_share import ChargeShare
from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from burdockgap.forward.call import Call


class SingleRuns:
    """Runs non-idempotent calls once and settles lost ones."""

    __slots__ = ("_dedup_cache",)

    def __init__(self) -> None:
        self._dedup_cache = DedupCache()

    def free_responses(self, missing_bytes: int) -> None:
        """Drop responses that are only kept for repeated calls."""
        self._dedup_cache.free_responses(missing_bytes)

    async def settle(self, run_id: str, attempt: int) -> Outcome:
        """
        Return the outcome of a call whose connection was lost.

        If the call has not arrived yet, it is not run when it arrives.
        """
        run = self._dedup_cache.find(run_id)
        self._dedup_cache.settle(run_id, attempt)
        if run is None:
            return _lost_before_run()
        return await asyncio.shield(run)

    async def run(
        self,
        call: Call,
        attempt: Callable[[], Coroutine[Any, Any, Outcome]],
    ) -> Outcome:
        """
        Return the outcome of a call's only run, started if new.

        :param attempt: sends the call to the target if admitted.
        """
        if self._dedup_cache.is_settled(call.run_id, call.attempt):
            return _lost_before_run()
        run = self._dedup_cache.run(call.run_id, attempt)
        try:
            outcome = await asyncio.shield(run)
        except asyncio.CancelledError as exc:
            # After a lost connection the run continues, as the peer
            # will ask for its outcome.
            if exc.args != (CALLER_CONNECTION_LOST,):
                run.cancel()
            raise
        if outcome.verdict is Verdict.NOT_RUN and not outcome.sent:
            # What the target has rejected is not sent to it again: a
            # second copy of the rejection, which may come on any
            # connection, could not be told from the next response.
            self._dedup_cache.forget(call.run_id)
        return _shared(outcome)


def _shared(outcome: Outcome) -> Outcome:
    """
    Return a copy of an outcome for one of its receivers.

    The receiver releases its response's charge when the client has read
    it or has left. The body is counted on while it is kept for others.
    """
    kept = outcome.response
    if kept is None or not isinstance(kept.charge, Charge):
        return outcome
    shared = copy.copy(outcome)
    shared.response = copy.copy(kept)
    shared.response.charge = ChargeShare(kept.charge)
    return shared


def _lost_before_run() -> Outcome:
    return Outcome(Verdict.NOT_RUN, reason=Reason.CONNECTION_LOST)
