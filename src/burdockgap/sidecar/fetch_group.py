"""Fetches of the same data from several members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.hop.reply_progress import ReplyProgress

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from burdockgap.fleet.member import Member

_STALLED_AFTER_S = 0.7
"""Time without a byte of the reply after which another member is asked
as well; a third of the users' shortest bound for a configuration."""
_MAX_RUNNING = 2
"""Copies that arrive at once take longer on a slow link."""


class _Fetch:
    """One fetch in progress."""

    __slots__ = ("progress", "task")

    def __init__(self, progress: ReplyProgress) -> None:
        self.progress = progress
        self.task: asyncio.Task[Any] | None = None


class FetchGroup:
    """
    Fetches data from one member, and from a second one if it stalls.

    The first one to complete ends the others.

    :param what: name of the data, for the log.
    :param spawn: runs a coroutine in a background task.
    :param on_event: logs an event with its fields.
    """

    __slots__ = ("_on_event", "_running", "_spawn", "_what")

    def __init__(
        self,
        what: str,
        *,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._what = what
        self._spawn = spawn
        self._on_event = on_event
        self._running: dict[str, _Fetch] = {}

    def start(
        self,
        member: Member,
        fetch: Callable[[ReplyProgress], Coroutine[Any, Any, None]],
    ) -> None:
        """
        Fetch from a member, unless enough fetches are in progress.

        :param fetch: fetches the data and takes it over; gets what
            measures the progress of its call.
        """
        is_full = len(self._running) >= _MAX_RUNNING
        if is_full or member.name in self._running:
            return
        if any(
            item.progress.stalled_s < _STALLED_AFTER_S
            for item in self._running.values()
        ):
            return
        item = self._running[member.name] = _Fetch(ReplyProgress())
        self._spawn(self._run(member.name, item, fetch))

    async def _run(
        self,
        name: str,
        item: _Fetch,
        fetch: Callable[[ReplyProgress], Coroutine[Any, Any, None]],
    ) -> None:
        item.task = asyncio.current_task()
        try:
            await fetch(item.progress)
        except (PeerCallError, TimeoutError, ValueError) as exc:
            self._on_event(
                "pull_failed",
                {"what": self._what, "member": name, "why": repr(exc)},
            )
        else:
            self._cancel_others(item)
        finally:
            self._running.pop(name, None)

    def _cancel_others(self, completed: _Fetch) -> None:
        for item in self._running.values():
            if item is not completed and item.task is not None:
                item.task.cancel()
