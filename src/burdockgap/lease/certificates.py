"""Proofs that a session's holder has stopped."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from loguru import logger

from burdockgap.lease.counters import IGNORED
from burdockgap.lease.quorum import promises_needed
from burdockgap.wire.ids import show_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.lease.messages.promise import Promise
    from burdockgap.records.session_entry import SessionEntry

_UNKNOWN_KEPT = 1024


class Certificates:
    """
    Collects promises up to a majority of a session's witnesses.

    :param folds: the folds that name the sessions' witnesses.
    """

    __slots__ = ("_callbacks", "_complete", "_folds", "_promised", "_unknown")

    def __init__(self, folds: FoldView) -> None:
        self._folds = folds
        self._promised: dict[int, set[int]] = {}
        self._complete: set[int] = set()
        self._unknown: OrderedDict[Promise, None] = OrderedDict()
        self._callbacks: list[Callable[[int], None]] = []
        folds.listen(self.on_touched)

    def listen(self, callback: Callable[[int], None]) -> None:
        """Call back with the session id of a new certificate."""
        self._callbacks.append(callback)

    def is_complete(self, session_id: int) -> bool:
        """Tell whether a live session has a certificate."""
        return session_id in self._complete

    def completed(self) -> list[int]:
        """Return the live sessions with a certificate."""
        return list(self._complete)

    def promised_by(self, session_id: int) -> list[int]:
        """Return the incarnations of the witnesses that promised."""
        return sorted(self._promised.get(session_id, ()))

    def add(self, promise: Promise) -> None:
        """Take in a promise; repeated ones are harmless."""
        entry = self._folds.control.sessions.get(promise.session_id)
        if entry is None:
            self._keep_unknown(promise)
            return
        named = {witness.incarnation for witness in entry.witnesses}
        if promise.witness_incarnation not in named:
            IGNORED.labels("promise-witness").inc()
            return
        promised = self._promised.setdefault(entry.session_id, set())
        promised.add(promise.witness_incarnation)
        if len(promised) >= promises_needed(len(named)):
            self._completed(entry)

    def _completed(self, entry: SessionEntry) -> None:
        if entry.session_id in self._complete:
            return
        self._complete.add(entry.session_id)
        logger.info(
            "session {} of {} is proved to have stopped",
            show_id(entry.session_id),
            entry.name,
        )
        for callback in self._callbacks:
            callback(entry.session_id)

    def _keep_unknown(self, promise: Promise) -> None:
        self._unknown[promise] = None
        if len(self._unknown) > _UNKNOWN_KEPT:
            self._unknown.popitem(last=False)
            IGNORED.labels("promise-unknown").inc()

    def on_touched(self, touched: ControlEffect) -> None:
        """Take in admitted and ended sessions."""
        if touched.replaces_state:
            self.resync()
            return
        for session_id in touched.sessions:
            if self._folds.control.is_live(session_id):
                self._add_kept(session_id)
            else:
                self._forget(session_id)

    def resync(self) -> None:
        """Take in the whole fold after it was replaced."""
        live = self._folds.control.sessions
        for session_id in set(self._promised) - set(live):
            self._forget(session_id)
        for promise in list(self._unknown):
            if promise.session_id in live:
                self._add_kept(promise.session_id)

    def _add_kept(self, session_id: int) -> None:
        kept = [
            promise
            for promise in self._unknown
            if promise.session_id == session_id
        ]
        for promise in kept:
            del self._unknown[promise]
            self.add(promise)

    def _forget(self, session_id: int) -> None:
        self._promised.pop(session_id, None)
        self._complete.discard(session_id)
