"""Handlers that change the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.api_error import ApiError
from burdockgap.admin.change_verdict import ChangeVerdict
from burdockgap.admin.response import Response
from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget
from burdockgap.wire.ids import parse_id, show_id

if TYPE_CHECKING:
    from burdockgap.admin.backend import AdminBackend, Change
    from burdockgap.admin.fields import Fields
    from burdockgap.admin.request import Request

STATUS_CODES = {
    ChangeVerdict.ACCEPTED: 200,
    ChangeVerdict.INVALID: 400,
    ChangeVerdict.NOT_FOUND: 404,
    ChangeVerdict.REJECTED: 409,
    ChangeVerdict.LOG_UNAVAILABLE: 503,
    ChangeVerdict.UNKNOWN: 504,
}
"""HTTP status code for each outcome of a change."""


class ChangeHandlers:
    """
    Handles changes made by operators.

    :param backend: the daemon.
    """

    __slots__ = ("_backend",)

    def __init__(self, backend: AdminBackend) -> None:
        self._backend = backend

    async def publish(self, req: Request) -> Response:
        """Replace the configuration document."""
        fields = req.fields
        return await self._change(
            fields, Publish(document=fields.text("document"))
        )

    async def data_centre(self, req: Request) -> Response:
        """Take a data centre out of service or put it back."""
        fields = req.fields
        change = SetDataCentre(name=req.params[0], out=fields.boolean("out"))
        return await self._change(fields, change)

    async def target(self, req: Request) -> Response:
        """Drain a target or end its drain."""
        fields = req.fields
        draining = fields.boolean("draining")
        change = SetTarget(name=req.params[0], draining=draining)
        return await self._change(fields, change)

    async def end_session(self, req: Request) -> Response:
        """Declare a session ended."""
        change = EndSession(session_id=_read_session_id(req.params[0]))
        return await self._change(req.fields, change)

    async def _change(self, fields: Fields, change: Change) -> Response:
        """Pass a change to the daemon and respond with its outcome."""
        author = fields.text("author")
        against = fields.optional_integer("against")
        fields.end()
        outcome = await self._backend.change(
            change, author=author, against=against
        )
        return Response.json(outcome, STATUS_CODES[outcome.verdict])


def _read_session_id(text: str) -> int:
    """Parse a session id; only the form shown by status is valid."""
    try:
        session_id = parse_id(text)
    except ValueError:
        session_id = 0
    if not session_id or show_id(session_id) != text:
        raise ApiError(
            400, f"{text!r} is no session id; take it from the status"
        )
    return session_id
