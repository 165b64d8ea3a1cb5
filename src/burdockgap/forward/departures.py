"""Target processes of this machine that said that they leave."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import msgpack

from burdockgap.wire.checks import check_integer, check_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.target_info import TargetInfo

_MAX_DEPARTURES = 8
_MAX_LATENESS_S = 30.0
"""Heartbeats may arrive seconds late. Later ones under the id of a
process that was never heard come from another process."""


class _UnheardTarget:
    """
    A process that left, of which no heartbeat need have been heard.

    Times in seconds are on the event loop's clock.

    :param left_ms: Unix time of its deregistration, in milliseconds.
    :param left_at: when that was.
    :param known_at: when this daemon learned of it.
    """

    __slots__ = ("known_at", "left_at", "left_ms")

    def __init__(
        self, left_ms: int, *, left_at: float, known_at: float
    ) -> None:
        self.left_ms = left_ms
        self.left_at = left_at
        self.known_at = known_at


class Departures:
    """
    The newest departures from this machine.

    :ivar on_change: called after a departure was noted.
    :ivar revision: number of departures that were noted.
    """

    __slots__ = ("_heard", "_loop", "_unheard", "on_change", "revision")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        # Dictionaries keep the order in which entries were added.
        self._heard: dict[tuple[str, int], None] = {}
        self._unheard: dict[str, _UnheardTarget] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.revision = 0

    @property
    def is_empty(self) -> bool:
        """Whether no departure is known."""
        return not self._heard and not self._unheard

    def note(self, target_id: str, born: int) -> None:
        """Note that a process leaves."""
        if (target_id, born) in self._heard:
            return
        self._heard[target_id, born] = None
        self._unheard.pop(target_id, None)
        self._changed()

    def note_unheard(self, target_id: str) -> None:
        """
        Note that a process left whose start time is not known.

        A deregistration names only the id. It may be that of a process
        that has just started and was not heard yet, so all that began
        before count as left. The newest time counts.
        """
        now = self._loop.time()
        self._unheard.pop(target_id, None)
        self._unheard[target_id] = _UnheardTarget(
            _unix_ms(), left_at=now, known_at=now
        )
        self._changed()

    def includes(self, info: TargetInfo) -> bool:
        """Return whether the process of an announcement has left."""
        if (info.target_id, info.born) in self._heard:
            return True
        unheard = self._unheard.get(info.target_id)
        return (
            unheard is not None
            # A process may start again under the id that it had.
            and self._time_of(info.born) <= unheard.left_at
            and self._loop.time() - unheard.known_at <= _MAX_LATENESS_S
        )

    def _time_of(self, unix_ms: int) -> float:
        """
        Return a Unix time on the event loop's clock, in seconds.

        The target's machine is this one. Had its clock been set back
        since the departure, a process that started later would seem to
        be older.
        """
        return self._loop.time() - (_unix_ms() - unix_ms) / 1000

    def encode(self) -> bytes:
        """Return the departures as bytes for the store."""
        rows: list[list[Any]] = [[*process, None] for process in self._heard]
        rows += [
            [target_id, None, unheard.left_ms]
            for target_id, unheard in self._unheard.items()
        ]
        data: bytes = msgpack.packb(rows)
        return data

    def merge(self, data: bytes) -> None:
        """
        Add departures from the store, as older than those noted here.

        :raises ValueError: if the bytes are malformed.
        """
        heard: dict[tuple[str, int], None] = {}
        unheard: dict[str, _UnheardTarget] = {}
        try:
            for target_id, born, left_ms in msgpack.unpackb(data):
                check_text(target_id, "target id")
                if born is not None:
                    heard[target_id, check_integer(born, "born")] = None
                    continue
                left_ms = check_integer(left_ms, "left_ms")
                unheard[target_id] = _UnheardTarget(
                    left_ms,
                    left_at=self._time_of(left_ms),
                    known_at=self._loop.time(),
                )
        except (TypeError, ValueError) as exc:
            raise ValueError(f"malformed departures: {exc}") from exc
        self._heard = {**heard, **self._heard}
        self._unheard = {**unheard, **self._unheard}
        self._drop_oldest()

    def _changed(self) -> None:
        self._drop_oldest()
        self.revision += 1
        self.on_change()

    def _drop_oldest(self) -> None:
        while len(self._heard) > _MAX_DEPARTURES:
            del self._heard[next(iter(self._heard))]
        while len(self._unheard) > _MAX_DEPARTURES:
            del self._unheard[next(iter(self._unheard))]


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000
