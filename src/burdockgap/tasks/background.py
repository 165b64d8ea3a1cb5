"""Tasks that last as long as a block of code."""

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
    Own a task group whose block's error is not put into a group.

    When the block fails, the tasks are cancelled and the error leaves
    as itself.
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
    """Run a task while the block runs and cancel it afterwards."""
    async with unwrapped_task_group() as tasks:
        tasks.start_soon(func, *args)
        yield
        tasks.cancel_scope.cancel()
