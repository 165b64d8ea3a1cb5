"""One execution of a request by a stand-in target."""

from __future__ import annotations

from typing import Any

import anyio


class TargetRun:
    """
    A run, from the arrival of the request to its end.

    :param number: sequence number of the run within the process.
    :param request_id: the caller's request id.
    :param unit: unit id, ``None`` for unkeyed requests.
    :param epoch: the unit's epoch.
    :param key: the key, "" for unkeyed requests.
    :param path: the path without the query string.
    :param deadline_at: ``CLOCK_BOOTTIME`` of the deadline in seconds,
        ``None`` for no deadline.
    :ivar started: ``CLOCK_BOOTTIME`` of the start of the work, ``None``
        before it.
    :ivar ended: ``CLOCK_BOOTTIME`` of the end, ``None`` before it.
    :ivar took_effect: whether the run took effect.
    :ivar done: set when the run has ended.
    :ivar scope: cancels the run.
    """

    __slots__ = (
        "deadline_at",
        "done",
        "ended",
        "epoch",
        "key",
        "number",
        "path",
        "request_id",
        "scope",
        "started",
        "took_effect",
        "unit",
    )

    def __init__(
        self,
        *,
        number: int,
        request_id: str,
        unit: int | None,
        epoch: int,
        key: str,
        path: str,
        deadline_at: float | None,
    ) -> None:
        self.number = number
        self.request_id = request_id
        self.unit = unit
        self.epoch = epoch
        self.key = key
        self.path = path
        self.deadline_at = deadline_at
        self.started: float | None = None
        self.ended: float | None = None
        self.took_effect = False
        self.done = anyio.Event()
        self.scope = anyio.CancelScope()

    def to_json(self) -> dict[str, Any]:
        """Return the run as an entry of the run history."""
        return {
            "number": self.number,
            "request_id": self.request_id,
            "unit": self.unit,
            "epoch": self.epoch,
            "key": self.key,
            "path": self.path,
            "started": self.started,
            "ended": self.ended,
            "took_effect": self.took_effect,
        }
