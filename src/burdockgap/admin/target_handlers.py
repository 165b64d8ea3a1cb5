"""Handlers for the target beside the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.api_error import ApiError
from burdockgap.admin.done_view import DoneView
from burdockgap.admin.response import Response
from burdockgap.settings.ranges import Url
from burdockgap.settings.ranges.admits import admits
from burdockgap.target.target_info import TargetInfo

if TYPE_CHECKING:
    from burdockgap.admin.backend import AdminBackend
    from burdockgap.admin.request import Request


class TargetHandlers:
    """
    Handles what the target reports to the daemon beside it.

    :param backend: the daemon.
    """

    __slots__ = ("_backend",)

    def __init__(self, backend: AdminBackend) -> None:
        self._backend = backend

    async def announce(self, req: Request) -> Response:
        """Register the target or update its description."""
        try:
            await self._backend.announce(_read_info(req))
        except ValueError as exc:
            raise ApiError(409, str(exc)) from exc
        return Response.json(DoneView())

    async def leaving(self, req: Request) -> Response:
        """Mark the target as about to stop."""
        boot_id = req.fields.text("boot_id")
        req.fields.end()
        await self._backend.leaving(boot_id)
        return Response.json(DoneView())


def _read_info(req: Request) -> TargetInfo:
    """Parse and validate an announcement."""
    fields = req.fields
    info = TargetInfo(
        service=fields.text("service"),
        url=fields.text("url"),
        boot_id=fields.text("boot_id"),
        slots=fields.integer("slots"),
        cold_slots=fields.integer("cold_slots"),
        checks_grants=fields.boolean("checks_grants"),
    )
    fields.end()
    if not admits(Url(), info.url):
        raise ApiError(400, "the field 'url' must be an http:// URL")
    if not 1 <= info.cold_slots <= info.slots:
        raise ApiError(400, "give 1 <= cold_slots <= slots")
    return info
