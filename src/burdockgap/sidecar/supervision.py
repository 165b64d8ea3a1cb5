"""Restart of components after unexpected errors."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_RESTART_DELAY_S = 0.5


async def keep_running(
    run: Callable[[], Awaitable[None]],
    *,
    on_event: Callable[[str, dict[str, object]], None],
) -> None:
    """
    Run a component until cancelled, again after each unexpected error.

    A component keeps its state between runs. Ending the process instead
    would cut off all requests and lose the keys that its target holds.

    :param run: the component's coroutine function, which returns only
        when it has nothing more to do.
    :param on_event: logs an event with its fields.
    """
    while True:
        try:
            await run()
        except Exception as exc:
            name = getattr(run, "__qualname__", repr(run))
            logger.exception(
                "component {} failed; starting it again in {} s",
                name,
                _RESTART_DELAY_S,
            )
            on_event("component_failed", {"name": name, "why": repr(exc)})
            await asyncio.sleep(_RESTART_DELAY_S)
        else:
            return
