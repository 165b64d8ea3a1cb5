"""Handlers that return state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.api_error import ApiError
from burdockgap.admin.items_view import ItemsView
from burdockgap.admin.response import Response

if TYPE_CHECKING:
    from burdockgap.admin.backend import AdminBackend
    from burdockgap.admin.request import Request

_DEFAULT_AUDIT_LIMIT = 20
_MAX_AUDIT_LIMIT = 1000


class ReadHandlers:
    """
    Handles read-only requests of operators.

    :param backend: the daemon.
    """

    __slots__ = ("_backend",)

    def __init__(self, backend: AdminBackend) -> None:
        self._backend = backend

    async def status(self, _req: Request) -> Response:
        """Return the state of the daemon."""
        return Response.json(await self._backend.status())

    async def config(self, _req: Request) -> Response:
        """Return the configuration in force."""
        return Response.json(await self._backend.config())

    async def owner(self, req: Request) -> Response:
        """Return the owner of a key."""
        service = req.query("service")
        view = await self._backend.owner(service, req.query("key"))
        if view is None:
            raise ApiError(404, f"no keyed service {service!r} is known")
        return Response.json(view)

    async def audit(self, req: Request) -> Response:
        """Return the newest changes."""
        text = req.query("limit", str(_DEFAULT_AUDIT_LIMIT))
        limit = int(text) if text.isascii() and text.isdigit() else 0
        if not 1 <= limit <= _MAX_AUDIT_LIMIT:
            raise ApiError(400, f"give a limit of 1 to {_MAX_AUDIT_LIMIT}")
        return Response.json(ItemsView(await self._backend.audit(limit)))
