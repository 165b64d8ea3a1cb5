"""The way to ask other daemons for a release."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.ownership.messages.release import Release
    from burdockgap.ownership.messages.released import Released
    from burdockgap.records.session_entry import SessionEntry


class ReleaseClient(Protocol):
    """Calls the releaser of another daemon."""

    async def release(
        self, session: SessionEntry, request: Release
    ) -> Released:
        """
        Ask a session's daemon for a release.

        :param session: the session, with its daemon's address.
        :raises ReleaseError: if there is no answer or a refusal.
        """
        ...
