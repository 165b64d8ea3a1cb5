"""Client for grant and release calls to the local target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response_limits import ResponseLimits

if TYPE_CHECKING:
    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.shard import Shard

CALL_TIMEOUT_S = 0.4
_RELEASE_TIMEOUT_S = 2.0
_IDLE_TIMEOUT_S = 8.0
_MAX_RESPONSE_BYTES = 64 * 1024
_MAX_ANNOUNCEMENT_AGE_S = 1.3
"""Age of an announcement above which the target may have restarted.
Targets announce themselves every 0.9 s, and a restart takes longer than
that."""


class GrantClient:
    """
    Grants key ranges to the local target and releases them.

    :param state: state of the target.
    :param protocol: encodes and decodes the target's messages.
    """

    __slots__ = (
        "_loop",
        "_pool",
        "_protocol",
        "_state",
        "_connection_closed_at",
    )

    def __init__(
        self, *, state: TargetState, protocol: TargetProtocol
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._protocol = protocol
        self._pool: ClientPool | None = None
        self._connection_closed_at: float | None = None

    def may_grant(self) -> bool:
        """
        Return whether the target has certainly not restarted.

        An open idle connection proves it. A target that closed its
        connection, or made no recent announcement, may have restarted,
        possibly under the same id; its next announcement shows which.
        """
        if not self._state.up:
            return False
        announced_at = self._state.announced_at
        if self._connection_closed_at is not None:
            if announced_at <= self._connection_closed_at:
                return False
            self._connection_closed_at = None
        if self._pool is not None and self._pool.has_idle:
            return True
        return self._loop.time() - announced_at < _MAX_ANNOUNCEMENT_AGE_S

    async def grant(self, shard: Shard, hold_s: float, handover: str) -> int:
        """
        Grant a range and return the HTTP status of the response.

        :param hold_s: duration of the grant from the arrival of the
            call at the target, in seconds.
        :param handover: handover of the last holder, "" if there is
            none.
        :raises ExchangeError: if no response arrived.
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
                return (await self._target_pool().exchange(data)).status
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
                response = await self._target_pool().exchange(data)
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
                on_closed=self._on_connection_closed,
                limits=ResponseLimits(body_bytes=_MAX_RESPONSE_BYTES),
            )
        return self._pool

    def _on_connection_closed(self) -> None:
        self._connection_closed_at = self._loop.time()
