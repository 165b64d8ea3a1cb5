"""Appending a record once, whatever happens to the replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from returns.result import Failure, Result

from burdockgap.logstore.write_attempt import WriteAttempt
from burdockgap.wire import pack

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fold.folds import Folds
    from burdockgap.logstore.log import Log
    from burdockgap.logstore.write_error import WriteError


class Writer:
    """
    Appends records and waits until they are folded locally.

    :param log: the log.
    :param folds: the folds that the tails feed.
    :param poke: makes the tail of a stream read at once.
    """

    __slots__ = ("_folds", "_log", "_restart_read")

    def __init__(
        self,
        log: Log,
        folds: Folds,
        restart_read: Callable[[str], None] = lambda _stream: None,
    ) -> None:
        self._log = log
        self._folds = folds
        self._restart_read = restart_read

    async def append_once(
        self, stream: str, msg: Any, timeout_s: float
    ) -> Result[int, WriteError]:
        """
        Append a record and wait until it is folded.

        After a lost reply the record is appended again only once the
        stream has been folded to its end and the id was not there. A
        refusal of the first append is returned at once, since nothing
        was written. To be called again with the same record after an
        unknown outcome: its id keeps it from taking effect twice.

        :param msg: a record of the stream, with a ``record_id``.
        :param timeout_s: time for everything together.
        :return: the offset past the record.
        """
        attempt = WriteAttempt(
            self._log, self._folds, stream, self._restart_read
        )
        with anyio.move_on_after(timeout_s):
            return await attempt.run(msg.record_id, pack(msg))
        return Failure(attempt.timed_out())
