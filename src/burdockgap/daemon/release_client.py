"""Client for releases of units by peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from burdockgap.ownership.release_error import ReleaseError
from burdockgap.peer.method import RELEASE
from burdockgap.peer.pool import PEER_ERRORS

if TYPE_CHECKING:
    from burdockgap.ownership.messages.release import Release
    from burdockgap.ownership.messages.released import Released
    from burdockgap.peer.pool import PeerPool
    from burdockgap.records.session_entry import SessionEntry


class ReleaseClient:
    """
    Asks other daemons to release units.

    :param pool: connections to peers.
    :param timeout_s: seconds to wait for a reply.
    """

    __slots__ = ("_pool", "_timeout_s")

    def __init__(self, pool: PeerPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    async def release(
        self, session: SessionEntry, request: Release
    ) -> Released:
        """
        Ask the daemon of a session to release units.

        :raises ReleaseError: if the peer does not reply or refuses.
        """
        try:
            reply = await self._pool.call(
                session.peer_address, RELEASE, request, self._timeout_s
            )
        except PEER_ERRORS as exc:
            raise ReleaseError(f"{session.name}: {exc!r}") from exc
        return cast("Released", reply)
