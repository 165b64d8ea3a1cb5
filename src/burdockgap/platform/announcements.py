"""Servers' heartbeats in the platform's form."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from burdockgap.forward.target_info import TargetInfo
from burdockgap.http1.response import Response
from burdockgap.platform.fields import address, field
from burdockgap.platform.times import decode_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.request import Request

_INSTANCES = "/api/instances/"
_READINESS = "/api/readiness"
_STATES = frozenset({"ready", "draining"})


def decode_announcement(target_id: str, body: bytes) -> TargetInfo:
    """
    Return what a server says of itself.

    :raises ValueError: if anything is missing, of another type or
        unknown.
    """
    source = json.loads(body)
    state = field(source, "state", str)
    if state not in _STATES:
        raise ValueError(f"state {state!r} is unknown")
    slots = field(source, "slots", int)
    if slots < 1:
        raise ValueError(f"a server with {slots} slots cannot run anything")
    return TargetInfo(
        target_id=target_id,
        born=field(source, "born", int),
        address=address(field(source, "address", str)),
        service=field(source, "service", str),
        data_centre=field(source, "zone", str),
        slots=slots,
        draining=state == "draining",
        # Time left until a server is warm after its start.
        cold_s=decode_time(field(source, "cold-remaining", str)),
        sequence=field(source, "sequence", int),
    )


class ControlSurface:
    """
    Answers servers' heartbeats and the platform's readiness question.

    :param announced: takes a heartbeat.
    :param left: takes the id of a server that is gone.
    :param is_ready: tells whether callers may come.
    :param on_event: logs what cannot be read.
    """

    __slots__ = ("_announced", "_is_ready", "_left", "_on_event")

    def __init__(
        self,
        *,
        announced: Callable[[TargetInfo], None],
        left: Callable[[str], None],
        is_ready: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._announced = announced
        self._left = left
        self._is_ready = is_ready
        self._on_event = on_event

    async def answer_control(self, req: Request) -> Response:
        """Answer a server's call without waiting for anything."""
        path = req.path
        target_id = path.removeprefix(_INSTANCES)
        if not path.startswith(_INSTANCES) or not target_id:
            return Response(404)
        if req.method == "DELETE":
            self._left(target_id)
            return _json_response(b"{}")
        if req.method != "PUT":
            return Response(405)
        try:
            info = decode_announcement(target_id, req.body)
        except ValueError as exc:
            self._on_event(
                "bad_heartbeat", {"target": target_id, "why": str(exc)}
            )
            return Response(400)
        self._announced(info)
        return _json_response(b"{}")

    async def answer_readiness(self, req: Request) -> Response:
        """Answer the platform's question."""
        if req.path != _READINESS:
            return Response(404)
        return Response(200 if self._is_ready() else 503)


def _json_response(body: bytes) -> Response:
    return Response(200, [("content-type", "application/json")], body)
