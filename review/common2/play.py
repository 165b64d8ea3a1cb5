"""Runs a case and turns its end into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING, NoReturn

from review.common2.record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

_HELD, _BROKEN, _NOT_RUN = 0, 1, 2


def play(
    folder: Path, case: Callable[[Record, bool], Awaitable[bool]]
) -> NoReturn:
    """
    Run a case, record it and exit.

    :param folder: the folder of the case.
    :param case: gets the record and whether there is a disruption;
        returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    sys.exit(asyncio.run(_play(record, case)))


async def _play(
    record: Record, case: Callable[[Record, bool], Awaitable[bool]]
) -> int:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        # The processes that were started are ended on the way out.
        loop.add_signal_handler(signum, task.cancel)
    try:
        held = await case(record, os.environ.get("TROUBLE") != "0")
    except (OSError, TimeoutError, asyncio.CancelledError) as exc:
        record.write("not-run", why=repr(exc))
        return _NOT_RUN
    return _HELD if held else _BROKEN
