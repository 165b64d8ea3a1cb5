"""Catch-up with the log, from peers if the log is unavailable."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio

from burdockgap.peer.messages.pull import Pull
from burdockgap.peer.messages.pulled import Pulled
from burdockgap.peer.method import PULL
from burdockgap.peer.pool import PEER_ERRORS
from burdockgap.records.streams import CONFIG, CONTROL

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.logstore.tail import Tail
    from burdockgap.peer.pool import PeerPool

_CALL_TIMEOUT_S = 1.0
_POKE_DELAY_S = 0.1
_PULL_DELAY_S = 0.4
_PULL_RECORDS_MAX = 200


class CatchUp:
    """
    Catches up when a peer has folded more records than this daemon.

    It first reads the log over a new connection. If the log is
    unavailable, it pulls the missing records from that peer.

    :param folds: the folded state of both streams.
    :param tails: the reader of each stream.
    :param pool: connections to peers.
    """

    __slots__ = (
        "_peer_offsets",
        "_folds",
        "_behind_events",
        "_pool",
        "_tails",
    )

    def __init__(
        self, *, folds: Folds, tails: dict[str, Tail], pool: PeerPool
    ) -> None:
        self._folds = folds
        self._tails = tails
        self._pool = pool
        self._peer_offsets: dict[str, tuple[str, int]] = {}
        self._behind_events = {stream: anyio.Event() for stream in tails}

    def on_offsets(self, peer: str, config: int, control: int) -> None:
        """
        Record a peer's offsets, which lease datagrams carry.

        :param peer: the peer's ``ip:port``.
        :param config: its offset in the configuration stream.
        :param control: its offset in the control stream.
        """
        self._record_offset(CONFIG, peer, config)
        self._record_offset(CONTROL, peer, control)

    async def run(self, stream: str) -> None:
        """Catch up on one stream when behind, until cancelled."""
        while True:
            await self._behind_events[stream].wait()
            # In most cases the pending long poll of the log is about to
            # return the records.
            await anyio.sleep(_POKE_DELAY_S)
            if self._is_behind(stream):
                self._tails[stream].restart_read()
                await anyio.sleep(_PULL_DELAY_S)
            self._behind_events[stream] = anyio.Event()
            if self._is_behind(stream) and not self._tails[stream].healthy:
                await self._pull(stream, self._peer_offsets[stream][0])

    async def answer(self, msg: Pull) -> Pulled:
        """Return the records that a peer asks for, if still kept."""
        limit = min(msg.limit, _PULL_RECORDS_MAX)
        records = self._folds.recent(msg.stream, msg.from_offset, limit)
        return Pulled(first=msg.from_offset, records=records or [])

    def _record_offset(self, stream: str, peer: str, offset: int) -> None:
        if offset <= self._folds.offset(stream):
            return
        self._peer_offsets[stream] = (peer, offset)
        self._behind_events[stream].set()

    def _is_behind(self, stream: str) -> bool:
        known = self._peer_offsets.get(stream)
        return known is not None and self._folds.offset(stream) < known[1]

    async def _pull(self, stream: str, peer: str) -> None:
        msg = Pull(
            stream=stream,
            from_offset=self._folds.offset(stream),
            limit=_PULL_RECORDS_MAX,
        )
        try:
            reply = await self._pool.call(peer, PULL, msg, _CALL_TIMEOUT_S)
        except PEER_ERRORS:
            return
        pulled = cast("Pulled", reply)
        for index, data in enumerate(pulled.records):
            self._folds.apply(stream, pulled.first + index, data)
