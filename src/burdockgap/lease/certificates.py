"""Expiry certificates, which prove that a holder has stopped."""

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

_MAX_UNKNOWN_PROMISES = 1024


class Certificates:
    """
    Collects the promises of witnesses into expiry certificates.

    A session's certificate is complete when a majority of the witnesses
    that the session names have promised its expiry. Promises for
    sessions that the fold does not contain yet are buffered; the oldest
    are dropped above a limit.

    :param folds: the folded state, which names the witnesses of each
        session.
    """

    __slots__ = (
        "_callbacks",
        "_complete",
        "_folds",
        "_promised",
        "_unknown_promises",
    )

    def __init__(self, folds: FoldView) -> None:
        self._folds = folds
        self._promised: dict[int, set[int]] = {}
        self._complete: set[int] = set()
        self._unknown_promises: OrderedDict[Promise, None] = OrderedDict()
        self._callbacks: list[Callable[[int], None]] = []
        folds.listen(self.on_touched)

    def listen(self, callback: Callable[[int], None]) -> None:
        """Register a callback for ids of newly certified sessions."""
        self._callbacks.append(callback)

    def is_complete(self, session_id: int) -> bool:
        """Tell whether a live session has a complete certificate."""
        return session_id in self._complete

    def completed(self) -> list[int]:
        """Return the live sessions with a complete certificate."""
        return list(self._complete)

    def promised_by(self, session_id: int) -> list[int]:
        """Return the incarnations of the witnesses that promised."""
        return sorted(self._promised.get(session_id, ()))

    def add(self, promise: Promise) -> None:
        """Count a promise; repeated promises have no effect."""
        entry = self._folds.control.sessions.get(promise.session_id)
        if entry is None:
            self._buffer_unknown(promise)
            return
        named = {witness.incarnation for witness in entry.witnesses}
        if promise.witness_incarnation not in named:
            IGNORED.labels("promise-witness").inc()
            return
        promised = self._promised.setdefault(entry.session_id, set())
        promised.add(promise.witness_incarnation)
        if len(promised) >= promises_needed(len(named)):
            self._mark_complete(entry)

    def _mark_complete(self, entry: SessionEntry) -> None:
        if entry.session_id in self._complete:
            return
        self._complete.add(entry.session_id)
        logger.info(
            "expiry certificate of session {} of {} is complete",
            show_id(entry.session_id),
            entry.name,
        )
        for callback in self._callbacks:
            callback(entry.session_id)

    def _buffer_unknown(self, promise: Promise) -> None:
        self._unknown_promises[promise] = None
        if len(self._unknown_promises) > _MAX_UNKNOWN_PROMISES:
            self._unknown_promises.popitem(last=False)
            IGNORED.labels("promise-unknown").inc()

    def on_touched(self, touched: ControlEffect) -> None:
        """Update for the sessions that a record admitted or ended."""
        if touched.replaces_state:
            self.resync()
            return
        for session_id in touched.sessions:
            if self._folds.control.is_live(session_id):
                self._add_buffered(session_id)
            else:
                self._forget(session_id)

    def resync(self) -> None:
        """Update all sessions after a snapshot replaced the fold."""
        live = self._folds.control.sessions
        for session_id in set(self._promised) - set(live):
            self._forget(session_id)
        for promise in list(self._unknown_promises):
            if promise.session_id in live:
                self._add_buffered(promise.session_id)

    def _add_buffered(self, session_id: int) -> None:
        buffered = [
            promise
            for promise in self._unknown_promises
            if promise.session_id == session_id
        ]
        for promise in buffered:
            del self._unknown_promises[promise]
            self.add(promise)

    def _forget(self, session_id: int) -> None:
        self._promised.pop(session_id, None)
        self._complete.discard(session_id)
