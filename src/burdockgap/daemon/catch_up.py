"""Catching up with the log, from peers if the log is down."""

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
_POKE_AFTER_S = 0.1
_PULL_AFTER_S = 0.4
_PULL_RECORDS = 200


class CatchUp:
    """
    Reacts to peers that have folded further than this daemon.

    :param folds: the folds.
    :param tails: the tail of each stream.
    :param pool: connections to peers.
    """

    __slots__ = ("_behind", "_folds", "_noted", "_pool", "_tails")

    def __init__(
        self, *, folds: Folds, tails: dict[str, Tail], pool: PeerPool
    ) -> None:
        self._folds = folds
        self._tails = tails
        self._pool = pool
        self._behind: dict[str, tuple[str, int]] = {}
        self._noted = {stream: anyio.Event() for stream in tails}

    def on_offsets(self, peer: str, config: int, control: int) -> None:
        """
        Take a peer's offsets, as they ride on lease datagrams.

        :param peer: the peer's ``ip:port``.
        """
        self._note(CONFIG, peer, config)
        self._note(CONTROL, peer, control)

    async def run(self, stream: str) -> None:
        """Catch up on one stream whenever it is behind, for ever."""
        while True:
            await self._noted[stream].wait()
            # Mostly, the read that waits at the log is about to answer.
            await anyio.sleep(_POKE_AFTER_S)
            if self._is_behind(stream):
                self._tails[stream].restart_read()
                await anyio.sleep(_PULL_AFTER_S)
            self._noted[stream] = anyio.Event()
            if self._is_behind(stream) and not self._tails[stream].healthy:
                await self._pull(stream, self._behind[stream][0])

    async def answer(self, msg: Pull) -> Pulled:
        """Answer a peer that is behind."""
        limit = min(msg.limit, _PULL_RECORDS)
        records = self._folds.recent(msg.stream, msg.from_offset, limit)
        return Pulled(first=msg.from_offset, records=records or [])

    def _note(self, stream: str, peer: str, offset: int) -> None:
        if offset <= self._folds.offset(stream):
            return
        self._behind[stream] = (peer, offset)
        self._noted[stream].set()

    def _is_behind(self, stream: str) -> bool:
        noted = self._behind.get(stream)
        return noted is not None and self._folds.offset(stream) < noted[1]

    async def _pull(self, stream: str, peer: str) -> None:
        msg = Pull(
            stream=stream,
            from_offset=self._folds.offset(stream),
            limit=_PULL_RECORDS,
        )
        try:
            reply = await self._pool.call(peer, PULL, msg, _CALL_TIMEOUT_S)
        except PEER_ERRORS:
            return
        pulled = cast("Pulled", reply)
        for index, data in enumerate(pulled.records):
            self._folds.apply(stream, pulled.first + index, data)
