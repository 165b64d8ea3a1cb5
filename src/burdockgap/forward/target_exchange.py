"""The exchange of requests and responses with a target's process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.end_detector import EndDetector
from burdockgap.forward.not_run import not_run
from burdockgap.forward.outcome import Outcome
from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response_limits import ResponseLimits
from burdockgap.resources.claim import Claim
from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.call import Call
    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.large_responses import LargeResponses
    from burdockgap.forward.target_info import TargetInfo
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.http1.response import Response
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.scheduling.service_times import ServiceTimes

_CONNECT_TIMEOUT_S = 0.5
_IDLE_TIMEOUT_S = 8.0
"""Below the 10 s after which targets close idle connections."""
_NON_IDEMPOTENT_IDLE_S = 4.0
_MAX_BODY_BYTES = 64 * 1024 * 1024


class TargetExchange:
    """
    Sends calls to the target and learns from the responses.

    :param state: the target's state.
    :param protocol: the protocol of the target.
    :param crashes: detects requests that crash targets.
    :param buffers: bounds responses.
    :param service_times: learns the service times.
    :param large_responses: learns the sizes of large responses.
    :param on_event: logs a decision.
    """

    __slots__ = (
        "_buffers",
        "_crashes",
        "_end_detector",
        "_large_responses",
        "_loop",
        "_on_event",
        "_pool",
        "_protocol",
        "_service_times",
        "_state",
    )

    def __init__(
        self,
        *,
        state: TargetState,
        protocol: TargetProtocol,
        crashes: CrashWatch,
        buffers: MemoryBudget,
        service_times: ServiceTimes,
        large_responses: LargeResponses,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._protocol = protocol
        self._crashes = crashes
        self._end_detector = EndDetector(state)
        self._buffers = buffers
        self._service_times = service_times
        self._large_responses = large_responses
        self._on_event = on_event
        self._pool: ClientPool | None = None

    def target_changed(self, info: TargetInfo) -> None:
        """Connect to the target's address; disconnect if it is down."""
        if self._pool is None or self._pool.address != info.address:
            self._pool = ClientPool(
                info.address,
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                idle_s=_IDLE_TIMEOUT_S,
                on_unexpected=self._on_unexpected_bytes,
                limits=ResponseLimits(
                    body_bytes=_MAX_BODY_BYTES, budget=self._buffers
                ),
            )
        if not self._state.up:
            self._pool.close()

    def check_memory(self, call: Call) -> None:
        """
        Check that the expected response fits into memory.

        :raises Refusal: with ``not-run``, if it does not.
        """
        # Once it has run, a response that does not fit is lost.
        expected_bytes = (
            self._large_responses.expected_bytes if call.large else 0
        )
        claim = Claim.LARGE if expected_bytes else Claim.SMALL
        if not self._buffers.fits(expected_bytes, claim):
            raise not_run(Reason.OVERLOADED)

    async def send(
        self, call: Call, deadline: float, before_send: Callable[[], None]
    ) -> Outcome:
        """
        Send a call to the target and return the outcome.

        :param deadline: the call's deadline, on the event loop's clock.
        :param before_send: called once there is a connection.
        :raises Refusal: by ``before_send``.
        """
        info, pool = self._state.info, self._pool
        assert info is not None
        assert pool is not None
        began = self._loop.time()
        head = self._protocol.encode_head(
            call, target_id=info.target_id, left_s=deadline - began
        )
        try:
            async with asyncio.timeout_at(deadline):
                response = await pool.exchange(
                    head,
                    body=call.body,
                    accepts=lambda got: self._protocol.matches(call, got),
                    bodiless=call.method == "HEAD",
                    max_idle_s=None
                    if call.idempotent
                    else _NON_IDEMPOTENT_IDLE_S,
                    request_id=call.request_id,
                    before_send=before_send,
                )
        except ExchangeError as exc:
            return self._failure_outcome(call, exc, info.born, pool)
        except (TimeoutError, asyncio.CancelledError) as exc:
            # It may have crashed a target that fell silent.
            self._crashes.gave_up(call, info.born, self._loop.time() - began)
            if isinstance(exc, asyncio.CancelledError):
                raise
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE, sent=True
            )
        return self._response_outcome(call, response, info.born, began)

    def _response_outcome(
        self, call: Call, response: Response, born: int, began: float
    ) -> Outcome:
        """
        Return the outcome of a call and learn from its response.

        :param born: start time of the process that was sent it.
        :param began: when that was, on the event loop's clock.
        """
        self._state.note_response()
        notice = self._protocol.notice(call, response)
        if notice is not None:
            self._state.note_notice(notice, born)
        verdict = self._protocol.verdict(response)
        if verdict is Verdict.NOT_RUN:
            return Outcome(verdict, reason=Reason.TARGET_SHED, sent=True)
        took_s = self._loop.time() - began
        connected_s = self._loop.time() - response.connected_at
        self._crashes.target_responded(born, took_s, connected_s)
        if not self._protocol.is_complete(response):
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.TRUNCATED, sent=True
            )
        if response.is_success:
            # Errors return too fast to represent the service time.
            self._service_times.note(call.route, took_s)
            self._state.note_success(took_s, self._protocol.slowness(response))
            if call.large:
                self._large_responses.note_size(len(response.body))
        self._crashes.answered(call)
        return Outcome(verdict, response=response, sent=True)

    def _failure_outcome(
        self, call: Call, exc: ExchangeError, born: int, pool: ClientPool
    ) -> Outcome:
        if exc.refused:
            self._state.refused_connection(born)
        self._on_event(
            "exchange_failed",
            {"id": call.request_id, "detail": str(exc), "born": born},
        )
        if not exc.sent:
            return Outcome(Verdict.NOT_RUN, reason=Reason.TARGET_DOWN)
        self._crashes.connection_lost(call, born)
        self._end_detector.connection_lost(pool, born)
        return Outcome(
            Verdict.MAY_HAVE_RUN, reason=Reason.CONNECTION_LOST, sent=True
        )

    def _on_unexpected_bytes(self, what: str) -> None:
        self._on_event("unexpected_bytes", {"detail": what})
