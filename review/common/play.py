"""The entry point of a script."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from review.common.record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HELD = 0
BROKEN = 1
NOT_RUN = 2


def run_case(
    case_file: str,
    play: Callable[[Record, bool], Awaitable[int]],
    *,
    trouble: bool,
) -> int:
    """
    Run a case and return its exit code.

    :param case_file: a file in the folder of the case.
    :param play: gets the record and whether to cause the disruption;
        returns the exit code.
    :param trouble: whether to cause the disruption.
    """
    record = Record(Path(case_file).with_name("record.txt"))

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # Cancelled, the case still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        return await play(record, trouble)

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        return NOT_RUN
    finally:
        record.close()
