"""One run of a request, as its target recorded it."""

from __future__ import annotations

from typing import Any


class RunRecord:
    """
    One run of a request on a target.

    :param target: the target's name.
    :param service: the target's service.
    :param request_id: the caller's request id.
    :param key: the key, "" for unkeyed requests.
    :param unit: the unit, ``None`` for unkeyed requests.
    :param epoch: the epoch under which the target ran it.
    :param started: boot time at the start, in seconds.
    :param ended: boot time at the end, ``None`` if none was recorded.
    :param took_effect: whether the run had its effect.
    """

    __slots__ = (
        "ended",
        "epoch",
        "key",
        "request_id",
        "service",
        "started",
        "target",
        "took_effect",
        "unit",
    )

    def __init__(
        self,
        *,
        target: str,
        service: str,
        request_id: str,
        key: str,
        unit: int | None,
        epoch: int,
        started: float,
        ended: float | None,
        took_effect: bool,
    ) -> None:
        self.target = target
        self.service = service
        self.request_id = request_id
        self.key = key
        self.unit = unit
        self.epoch = epoch
        self.started = started
        self.ended = ended
        self.took_effect = took_effect

    @property
    def may_have_taken_effect(self) -> bool:
        """
        Return whether the run had its effect, or may have had it.

        A run that the target refused or cancelled before its effect had
        none; a run without a recorded end may have had it, since the
        process ended during the run.
        """
        return self.took_effect or self.ended is None

    @property
    def last_seen(self) -> float:
        """
        Return the latest time at which the run is known to have acted.

        For a run without a recorded end this is its start, and for one
        without effect too: the target's own checks stopped it, and the
        recorded end says nothing if the process was frozen in between.
        """
        if self.ended is None or not self.took_effect:
            return self.started
        return self.ended

    def __str__(self) -> str:
        return (
            f"{self.request_id} on {self.target} (key {self.key!r}, unit "
            f"{self.unit}, epoch {self.epoch}, from {self.started:.3f} to "
            f"{self.last_seen:.3f})"
        )


def from_json(
    fields: dict[str, Any], *, target: str, service: str
) -> RunRecord:
    """Return a run from a line of a target's history."""
    return RunRecord(
        target=target,
        service=service,
        request_id=fields["request_id"],
        key=fields["key"],
        unit=fields["unit"],
        epoch=fields["epoch"],
        started=fields["started"],
        ended=fields["ended"],
        took_effect=fields["took_effect"],
    )
