"""Restoration of a task's cancellation count after gRPC calls."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from grpclib.exceptions import StreamTerminatedError

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def restored_cancel_count() -> Iterator[None]:
    """
    Restore the task's cancellation count after a lost stream.

    The library wakes up a task whose stream has ended by cancelling it
    and replaces the cancellation by its own error, but does not lower
    the task's cancellation count again. A timeout that the task sets
    later would then mistake its own cancellation for an outer one.

    :raises RuntimeError: if no task is running.
    """
    task = asyncio.current_task()
    if task is None:
        raise RuntimeError(
            "no running task; use restored_cancel_count() inside a task"
        )
    before = task.cancelling()
    try:
        yield
    except StreamTerminatedError:
        while task.cancelling() > before:
            task.uncancel()
        raise
