"""Pacing of what other machines send to this one."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from burdockgap.scheduling.receive_grants import ReceiveGrants

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable


class Downlink:
    """
    Grants other machines the right to send long messages.

    :param bytes_per_s: the link's rate, in bytes per second.
    """

    __slots__ = ("_grants", "_loop", "_send_grant", "_timer", "_timer_at")

    def __init__(self, bytes_per_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._grants = ReceiveGrants(bytes_per_s)
        self._send_grant: dict[Hashable, Callable[[int], None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    @property
    def backlog_s(self) -> float:
        """Seconds until all offered messages have been received."""
        return self._grants.backlog_s

    @property
    def under_way_bytes(self) -> int:
        """Bytes that may be under way, of granted messages."""
        return self._grants.under_way_bytes

    def offer(
        self,
        key: Hashable,
        size: int,
        rtt_s: float,
        send_grant: Callable[[int], None],
    ) -> None:
        """
        Add a message that a peer wants to send.

        :param key: identifies the message.
        :param size: its size in bytes.
        :param rtt_s: round-trip time to the peer, in seconds.
        :param send_grant: called with each number of bytes that the
            peer may send.
        """
        self._send_grant[key] = send_grant
        self._grants.offer(key, size, rtt_s)
        self._issue()

    def received(self, key: Hashable, size: int) -> None:
        """Note received bytes of a message."""
        if self._grants.received(key, size, self._loop.time()):
            self._send_grant.pop(key, None)
        self._issue()

    def withdraw(self, key: Hashable) -> None:
        """Remove a message, complete or not."""
        if self._send_grant.pop(key, None) is not None:
            self._grants.withdraw(key)
            self._issue()

    def _issue(self) -> None:
        for key, size in self._grants.issue(self._loop.time()):
            self._send_grant[key](size)
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer unless it expires in time already."""
        expiry = self._grants.next_expiry
        if expiry >= self._timer_at or math.isinf(expiry):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = expiry
        self._timer = self._loop.call_at(expiry, self._expire)

    def _expire(self) -> None:
        self._timer, self._timer_at = None, math.inf
        self._issue()
