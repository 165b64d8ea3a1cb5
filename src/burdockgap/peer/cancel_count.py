"""Undoing of the cancellations that the gRPC library uses."""

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
    Leave the task as uncancelled as it was before a call.

    The library wakes up a task whose stream has ended by cancelling it
    and raises its own error in place of the cancellation, but leaves
    the task's count of cancellations raised. Time limits that the task
    sets later would then take their own cancellation for another's.
    """
    task = asyncio.current_task()
    if task is None:
        raise RuntimeError("call this inside a task")
    before = task.cancelling()
    try:
        yield
    except StreamTerminatedError:
        while task.cancelling() > before:
            task.uncancel()
        raise
