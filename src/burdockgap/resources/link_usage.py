"""How much of the machine's network link is in use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.resources.byte_counter import ByteCounter

if TYPE_CHECKING:
    from collections.abc import Callable

KINDS = ("callers", "datagrams", "peers", "store")
"""Kinds of traffic that are counted."""
_WINDOW_S = 1.0
_FULL_SHARE = 0.8
"""Payload alone; packet headers and acknowledgements use the rest."""
_FREE_SHARE = 0.6
_LATE_OPENING_S = 0.25
"""Several round trips between regions. Bytes that arrive for closed
connections are not counted, but delay the others."""


class LinkUsage:
    """
    Samples counters and tells when a direction of the link is full.

    The receiving direction also counts as full while connections take
    long to open.

    :param bytes_per_s: the link's rate in each direction.
    :param on_event: logs when a direction becomes full and when it has
        room again.
    :param on_opening: called with the kind of traffic of a connection,
        the seconds it took to open or fail, and whether it opened.
    :ivar counters: the bytes by kind of traffic.
    :ivar received_share: used share of the receiving direction in the
        last complete window.
    :ivar sent_share: the same of the sending direction.
    """

    __slots__ = (
        "_bytes_per_s",
        "_full",
        "_loop_delay_s",
        "_marks",
        "_on_event",
        "_on_opening",
        "_opening_s",
        "_window_from",
        "counters",
        "received_share",
        "sent_share",
    )

    def __init__(
        self,
        bytes_per_s: float,
        on_event: Callable[[str, dict[str, object]], None],
        on_opening: Callable[[str, float, bool], None] = lambda *_: None,
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._on_event = on_event
        self._on_opening = on_opening
        self.counters = {kind: ByteCounter() for kind in KINDS}
        self._marks = self._read_counters()
        self._full = {"received": False, "sent": False}
        self._opening_s = self._loop_delay_s = 0.0
        self._window_from: float | None = None
        self.received_share = 0.0
        self.sent_share = 0.0

    def note_opening(self, kind: str, seconds: float, is_open: bool) -> None:
        """
        Note the end of an attempt to open a connection.

        :param kind: the kind of its traffic.
        :param seconds: how long the attempt took.
        :param is_open: whether it succeeded.
        """
        self._opening_s = max(self._opening_s, seconds)
        self._on_opening(kind, seconds, is_open)

    def check(self, now: float, loop_delay_s: float) -> None:
        """
        Complete the window if it has lasted long enough.

        :param now: current time, in seconds.
        :param loop_delay_s: by how much the event loop was late since
            the last call.
        """
        self._loop_delay_s = max(self._loop_delay_s, loop_delay_s)
        if self._window_from is None:
            self._window_from = now
            return
        window_s = now - self._window_from
        if window_s >= _WINDOW_S:
            self._complete_window(window_s)
            self._window_from = now

    def _complete_window(self, window_s: float) -> None:
        marks, self._marks = self._marks, self._read_counters()
        received, sent = (
            {
                kind: totals[index] - marks[kind][index]
                for kind, totals in self._marks.items()
            }
            for index in range(2)
        )
        capacity_bytes = self._bytes_per_s * window_s
        self.received_share = sum(received.values()) / capacity_bytes
        self.sent_share = sum(sent.values()) / capacity_bytes
        fields: dict[str, object] = {
            "opening_s": round(self._opening_s, 3),
            "loop_delay_s": round(self._loop_delay_s, 3),
        }
        is_late = self._opening_s > _LATE_OPENING_S
        self._update(
            "received", self.received_share, is_late, received, fields
        )
        self._update("sent", self.sent_share, False, sent, fields)
        self._opening_s = self._loop_delay_s = 0.0

    def _read_counters(self) -> dict[str, tuple[int, int]]:
        return {
            kind: (counter.received, counter.sent)
            for kind, counter in self.counters.items()
        }

    def _update(
        self,
        direction: str,
        share: float,
        is_late: bool,
        sizes: dict[str, int],
        fields: dict[str, object],
    ) -> None:
        was_full = self._full[direction]
        threshold = _FREE_SHARE if was_full else _FULL_SHARE
        is_full = share >= threshold or is_late
        if is_full == was_full:
            return
        self._full[direction] = is_full
        self._on_event(
            "link",
            {
                "direction": direction,
                "state": "full" if is_full else "free",
                "share": round(share, 2),
                "bytes": sizes,
                **fields,
            },
        )
