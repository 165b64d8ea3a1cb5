"""Detection of a target's end after a lost connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.exchange_error import ExchangeError

if TYPE_CHECKING:
    from burdockgap.forward.target_state import TargetState
    from burdockgap.http1.client_pool import ClientPool

_DELAY_S = 0.05
"""Time in which the other connections of a process that has ended are
closed as well, so that none of them is taken for a usable one."""


class EndDetector:
    """
    Finds out whether a target that closed a connection has ended.

    A target without other requests would be found to have ended only
    when its successor starts, and be sent requests until then.

    :param state: the target's state.
    """

    __slots__ = ("_due", "_state", "_task")

    def __init__(self, state: TargetState) -> None:
        self._state = state
        self._due: tuple[ClientPool, int] | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_lost(self, pool: ClientPool, born: int) -> None:
        """
        Check soon whether the target still accepts connections.

        :param pool: connections to the target's address.
        :param born: start time of the process.
        """
        self._due = (pool, born)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._check())

    async def _check(self) -> None:
        while self._due is not None:
            pool, born = self._due
            self._due = None
            await asyncio.sleep(_DELAY_S)
            try:
                # It stays in the pool for the next request.
                await pool.connect()
            except ExchangeError as exc:
                if exc.refused:
                    self._state.refused_connection(born)
