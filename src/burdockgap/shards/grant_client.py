"""Client for grant and release calls to the local target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response_limits import ResponseLimits
from burdockgap.shards.target_watch import TargetWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.shard import Shard

CALL_TIMEOUT_S = 0.4
_RELEASE_TIMEOUT_S = 2.0
_IDLE_TIMEOUT_S = 8.0
_MAX_RESPONSE_BYTES = 64 * 1024


class GrantClient:
    """
    Grants key ranges to the local target and releases them.

    :param state: state of the target.
    :param protocol: encodes and decodes the target's messages.
    :param on_event: logs changes of the connections to the target.
    """

    __slots__ = (
        "_on_event",
        "_pool",
        "_protocol",
        "_state",
        "_watch",
    )

    def __init__(
        self,
        *,
        state: TargetState,
        protocol: TargetProtocol,
        on_event: Callable[[str, dict[str, object]], None] = (
            lambda _event, _fields: None
        ),
    ) -> None:
        self._state = state
        self._protocol = protocol
        self._on_event = on_event
        self._watch = TargetWatch(state, on_event)
        self._pool: ClientPool | None = None

    def may_grant(self) -> bool:
        """
        Return whether the announced target is certainly running.

        It may have restarted under the same id.
        """
        return self._state.up and self._watch.is_proven()

    async def watch_target(self) -> None:
        """Watch for restarts of the target until cancelled."""
        await self._watch.run()

    async def grant(self, shard: Shard, hold_s: float, handover: str) -> int:
        """
        Grant a range and return the HTTP status of the response.

        :param hold_s: duration of the grant from the arrival of the
            call at the target, in seconds.
        :param handover: handover of the last holder, "" if there is
            none.
        :raises ExchangeError: if no response arrived, or the target may
            have restarted.
        :raises TimeoutError: if no response arrived within
            :data:`CALL_TIMEOUT_S`.
        """
        data = self._protocol.encode_grant(
            first=shard.first,
            last=shard.last,
            fence=shard.fence,
            hold_s=hold_s,
            handover=handover,
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                pool = self._target_pool()
                if not pool.has_idle:
                    self._on_event(
                        "grant_connection",
                        {"fence": shard.fence, "born": shard.born},
                    )
                await pool.connect()
                # A new connection may lead to a new process, which may
                # have announced itself meanwhile.
                is_same = self._state.born == shard.born
                if not (is_same and self.may_grant()):
                    raise ExchangeError(
                        "the target may have restarted", sent=False
                    )
                response = await pool.exchange(
                    data, accepts=self._protocol.is_control_response
                )
                return response.status
        except ExchangeError as exc:
            if exc.refused:
                self._state.refused_connection(shard.born)
            raise

    async def release(self, first: int, last: int, fence: int) -> str | None:
        """
        Release a range once no request on its keys is running.

        :return: the target's handover, "" if it gave none or no longer
            runs, ``None`` if it did not answer.
        """
        data = self._protocol.encode_release(
            first=first, last=last, fence=fence
        )
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                # Responses to grants and releases have no id. A second
                # copy of another one must not end the ownership while
                # requests are still running.
                response = await self._target_pool().exchange(
                    data,
                    accepts=self._protocol.is_control_response,
                    on_own_connection=True,
                )
        except TimeoutError:
            return None
        except ExchangeError as exc:
            if exc.refused:
                self._state.refused_connection(self._state.born)
                return ""
            return None
        return self._protocol.handover(response)

    def _target_pool(self) -> ClientPool:
        info = self._state.info
        if info is None:
            raise ExchangeError(
                "no target has announced itself to this daemon", sent=False
            )
        if self._pool is None or self._pool.address != info.address:
            self._pool = ClientPool(
                info.address,
                connect_timeout_s=CALL_TIMEOUT_S,
                idle_s=_IDLE_TIMEOUT_S,
                limits=ResponseLimits(body_bytes=_MAX_RESPONSE_BYTES),
            )
        return self._pool
