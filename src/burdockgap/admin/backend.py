"""The interface of the daemon for the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget

if TYPE_CHECKING:
    from burdockgap.admin.change_outcome import ChangeOutcome
    from burdockgap.admin.views import (
        AuditView,
        ConfigView,
        OwnerView,
        StatusView,
    )
    from burdockgap.target import TargetInfo

Change: TypeAlias = Publish | SetDataCentre | SetTarget | EndSession
"""A change that an operator can make."""


class AdminBackend(Protocol):
    """The daemon behind the administration API."""

    def readiness(self) -> str:
        """Return why the daemon accepts no requests, "" if it does."""
        ...

    async def status(self) -> StatusView:
        """Return the state of the daemon and of the system."""
        ...

    async def owner(self, service: str, key: str) -> OwnerView | None:
        """
        Return who owns a key.

        :return: ``None`` if no such keyed service is known.
        """
        ...

    async def audit(self, limit: int) -> list[AuditView]:
        """Return at most ``limit`` changes, the newest first."""
        ...

    async def config(self) -> ConfigView:
        """Return the configuration in force."""
        ...

    async def change(
        self, change: Change, *, author: str, against: int | None
    ) -> ChangeOutcome:
        """
        Append a change to the log and wait until it is applied.

        :param change: what to change.
        :param author: who changes it.
        :param against: the configuration version it is based on,
            ``None`` for the version that the daemon has.
        """
        ...

    async def announce(self, info: TargetInfo) -> None:
        """Register the daemon's target or update its description."""
        ...

    async def leaving(self, boot_id: str) -> None:
        """Send no new requests to a target that is about to stop."""
        ...
