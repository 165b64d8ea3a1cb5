"""The local target that a daemon currently serves."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from burdockgap.target.http_target import HttpTarget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.target import (
        Grant,
        TargetInfo,
        TargetReply,
        TargetRequest,
        TargetStatus,
    )


class CurrentTarget:
    """
    Forwards calls to the target that announced itself last.

    :param info: the first announcement.
    :param clock: source of elapsed time.
    :ivar info: the newest announcement.
    """

    __slots__ = ("_clock", "_target", "info")

    def __init__(self, info: TargetInfo, clock: Clock) -> None:
        self._clock = clock
        self._target = HttpTarget(info, clock)
        self.info = info

    @property
    def http_target(self) -> HttpTarget:
        """Return the target that announced itself last."""
        return self._target

    async def replace(self, info: TargetInfo) -> bool:
        """
        Apply a new announcement.

        If the boot id or the URL differs, a new client is opened and
        the connections to the earlier process are closed.

        :return: whether the target is a different process.
        """
        is_same_process = (info.boot_id, info.url) == (
            self.info.boot_id,
            self.info.url,
        )
        self.info = info
        if is_same_process:
            return False
        previous = self._target
        self._target = HttpTarget(info, self._clock)
        await previous.aclose()
        return True

    async def aclose(self) -> None:
        """Close the connections to the target."""
        await self._target.aclose()

    @asynccontextmanager
    async def send(self, req: TargetRequest) -> AsyncIterator[TargetReply]:
        """Send a request to the target."""
        async with self._target.send(req) as reply:
            yield reply

    async def status(self) -> TargetStatus:
        """Return the target's health and load."""
        return await self._target.status()

    async def grant(self, grant: Grant) -> bool:
        """Send or renew a grant; ``False`` if it was refused."""
        return await self._target.grant(grant)

    async def drain(self) -> None:
        """Tell the target to expect no new work."""
        await self._target.drain()

    async def cancel(self, request_id: str) -> bool:
        """Tell the target that a request was cancelled."""
        return await self._target.cancel(request_id)
