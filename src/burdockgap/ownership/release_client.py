"""The interface for requesting releases from other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.ownership.messages.release import Release
    from burdockgap.ownership.messages.released import Released
    from burdockgap.records.session_entry import SessionEntry


class ReleaseClient(Protocol):
    """Sends release requests to other daemons."""

    async def release(
        self, session: SessionEntry, request: Release
    ) -> Released:
        """
        Request a release from a session's daemon.

        :param session: the session, with its daemon's address.
        :raises ReleaseError: if there is no answer or a refusal.
        """
        ...
