"""Servers' heartbeats and readiness checks in the platform's format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.forward.target_info import TargetInfo
from burdockgap.http1.response import Response
from burdockgap.platform.fields import (
    decode_json,
    parse_address,
    require_field,
    require_integer,
)
from burdockgap.platform.times import decode_time
from burdockgap.wire.checks import MAX_COUNT

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.http1.request import Request

_INSTANCES_PATH = "/api/instances/"
_READINESS_PATH = "/api/readiness"
_STATES = frozenset({"ready", "draining"})
_MAX_ID_LENGTH = 255


def decode_heartbeat(target_id: str, body: bytes) -> TargetInfo:
    """
    Return the state that a server reports in a heartbeat.

    :param target_id: the server's id.
    :param body: the heartbeat's JSON.
    :raises ValueError: if a field is missing, has the wrong type or a
        value that is not allowed.
    """
    heartbeat = decode_json(body)
    state = require_field(heartbeat, "state", str)
    if state not in _STATES:
        raise ValueError(f"state {state!r} is unknown; use ready or draining")
    return TargetInfo(
        target_id=target_id,
        born=require_integer(heartbeat, "born"),
        address=parse_address(require_field(heartbeat, "address", str)),
        service=require_field(heartbeat, "service", str),
        data_centre=require_field(heartbeat, "zone", str),
        slots=require_integer(heartbeat, "slots", least=1, most=MAX_COUNT),
        draining=state == "draining",
        # Remaining time of the cold start.
        cold_s=decode_time(require_field(heartbeat, "cold-remaining", str)),
        sequence=require_integer(heartbeat, "sequence"),
    )


class ControlApi:
    """
    Handles servers' heartbeats and the platform's readiness checks.

    :param on_heartbeat: called with each heartbeat.
    :param on_target_left: called with the id of a server that has
        deregistered.
    :param confirm_departures: waits until all departures are durable;
        returns whether they are.
    :param is_ready: returns whether the daemon is ready for callers'
        requests.
    :param on_event: logs an event with its fields.
    """

    __slots__ = (
        "_confirm_departures",
        "_is_ready",
        "_on_event",
        "_on_heartbeat",
        "_on_target_left",
    )

    def __init__(
        self,
        *,
        on_heartbeat: Callable[[TargetInfo], None],
        on_target_left: Callable[[str], None],
        confirm_departures: Callable[[], Awaitable[bool]],
        is_ready: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._on_target_left = on_target_left
        self._confirm_departures = confirm_departures
        self._is_ready = is_ready
        self._on_event = on_event

    async def answer_control(self, req: Request) -> Response:
        """
        Respond to a server's call.

        A departure takes effect at once and is acknowledged when it is
        durable, as the acknowledgement binds later runs of the daemon.
        """
        path = req.path
        target_id = path.removeprefix(_INSTANCES_PATH)
        if not path.startswith(_INSTANCES_PATH) or not target_id:
            return Response(404)
        if req.method == "DELETE":
            if len(target_id) > _MAX_ID_LENGTH:
                return Response(400)
            self._on_target_left(target_id)
            return await self._acknowledge_departure()
        if req.method != "PUT":
            return Response(405)
        try:
            info = decode_heartbeat(target_id, req.body)
        except ValueError as exc:
            self._on_event(
                "bad_heartbeat", {"target": target_id, "why": str(exc)}
            )
            return Response(400)
        self._on_heartbeat(info)
        if info.draining:
            return await self._acknowledge_departure()
        return _json_response(b"{}")

    async def _acknowledge_departure(self) -> Response:
        if await self._confirm_departures():
            return _json_response(b"{}")
        return Response(503)

    async def answer_readiness(self, req: Request) -> Response:
        """Respond to a readiness check of the platform."""
        if req.path != _READINESS_PATH:
            return Response(404)
        return Response(200 if self._is_ready() else 503)


def _json_response(body: bytes) -> Response:
    return Response(200, [("content-type", "application/json")], body)
