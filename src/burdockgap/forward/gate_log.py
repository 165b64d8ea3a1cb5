"""The log of a gate's outcomes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.call import Call
    from burdockgap.forward.outcome import Outcome
    from burdockgap.forward.slots import Slots
    from burdockgap.forward.target_state import TargetState
    from burdockgap.uplink import Uplink


class GateLog:
    """
    Logs and counts the outcomes of calls.

    :param state: the target's state.
    :param slots: the target's slots.
    :param uplink: the machine's outbound link.
    :param on_event: logs a decision.
    :param on_outcome: counts an outcome and its duration in seconds.
    """

    __slots__ = (
        "_loop",
        "_on_event",
        "_on_outcome",
        "_slots",
        "_state",
        "_uplink",
    )

    def __init__(
        self,
        *,
        state: TargetState,
        slots: Slots,
        uplink: Uplink,
        on_event: Callable[[str, dict[str, object]], None],
        on_outcome: Callable[[Outcome, float], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._slots = slots
        self._uplink = uplink
        self._on_event = on_event
        self._on_outcome = on_outcome

    def write(
        self,
        call: Call,
        outcome: Outcome,
        began: float,
        lease_s: float | None,
    ) -> None:
        """
        Log and count an outcome.

        :param began: when the call arrived, on the event loop's clock.
        :param lease_s: how long the call's key is still held, in
            seconds; ``None`` if it has none.
        """
        info = self._state.info
        outcome.nested = call.nested
        self._on_outcome(outcome, self._loop.time() - began)
        self._on_event(
            "gate",
            {
                "id": call.request_id,
                "service": call.service,
                "key": call.key,
                "attempt": call.attempt,
                "nested": call.nested,
                "verdict": outcome.verdict.value,
                "reason": outcome.reason.value if outcome.reason else None,
                "status": outcome.response.status
                if outcome.response
                else None,
                "ms": round((self._loop.time() - began) * 1000, 1),
                "waited_ms": round(outcome.waited_s * 1000, 1),
                "slowness": self._state.slowness,
                "in_flight": self._slots.in_flight,
                "waiting": self._slots.waiting,
                "slots": self._slots.size,
                "uplink_s": round(self._uplink.backlog_s, 3),
                "born": self._state.born,
                "sequence": info.sequence if info else None,
                "lease_s": lease_s,
            },
        )
