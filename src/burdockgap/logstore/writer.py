"""Idempotent appends to the log."""

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
    Appends records and waits until they are applied locally.

    :param log: the log.
    :param folds: the folds that the tails apply records to.
    :param restart_read: restarts the pending read of a stream.
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
        Append a record and wait until it is applied locally.

        If the reply is lost, the record is appended again only after
        the stream has been applied to its end without the record's id.
        If the log refuses the first append, the error is returned at
        once, since nothing was written. After an unknown outcome, call
        again with the same record: its id makes the append idempotent.

        :param msg: a record of the stream, with a ``record_id``.
        :param timeout_s: timeout of the whole call, with its retries.
        :return: the offset after the record, or the error.
        """
        attempt = WriteAttempt(
            self._log, self._folds, stream, self._restart_read
        )
        with anyio.move_on_after(timeout_s):
            return await attempt.run(msg.record_id, pack(msg))
        return Failure(attempt.unknown_outcome())
