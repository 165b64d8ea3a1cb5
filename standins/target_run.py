"""One run of a request in a stand-in target."""

from __future__ import annotations

from typing import Any

import anyio


class TargetRun:
    """
    A run, from its arrival to its end.

    :param number: rises with each run of the process.
    :param request_id: the caller's request id.
    :param unit: unit id, ``None`` for unkeyed requests.
    :param epoch: the unit's epoch.
    :param key: the key, "" for unkeyed requests.
    :param path: the path without the query.
    :param deadline_at: ``CLOCK_BOOTTIME`` of the deadline, or ``None``.
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
        """Return the run as an entry of the history."""
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
