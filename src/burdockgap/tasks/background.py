"""Background tasks bound to a block of code."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from anyio.abc import TaskGroup


@asynccontextmanager
async def unwrapped_task_group() -> AsyncIterator[TaskGroup]:
    """
    Open a task group that raises the block's exception unwrapped.

    If the block fails, the tasks are cancelled and the exception is
    raised as is instead of in an ``ExceptionGroup``.
    """
    error: Exception | None = None
    async with anyio.create_task_group() as tasks:
        try:
            yield tasks
        except Exception as exc:
            error = exc
            tasks.cancel_scope.cancel()
    if error is not None:
        raise error


@asynccontextmanager
async def background(
    func: Callable[..., Coroutine[Any, Any, None]], *args: Any
) -> AsyncIterator[None]:
    """Run a task in the background; cancel it when the block ends."""
    async with unwrapped_task_group() as tasks:
        tasks.start_soon(func, *args)
        yield
        tasks.cancel_scope.cancel()
