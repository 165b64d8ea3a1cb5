"""A task that lasts as long as a block of code."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine


@asynccontextmanager
async def background(
    func: Callable[..., Coroutine[Any, Any, None]], *args: Any
) -> AsyncIterator[None]:
    """
    Run a task while the block runs and cancel it afterwards.

    An error of the block leaves as itself, not in an exception group.
    """
    error: Exception | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(func, *args)
        try:
            yield
        except Exception as exc:
            error = exc
        group.cancel_scope.cancel()
    if error is not None:
        raise error
