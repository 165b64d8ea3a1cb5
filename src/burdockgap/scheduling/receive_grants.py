"""
The order in which senders may send long messages to one machine.

Addresses many senders that together exceed the machine's link: each of
them paces its own link only, so what is under way to the receiver would
grow without bound and delay everything else that it is sent. The
receiver grants the right to send, and only for what its link takes in a
short time, as in receiver-driven transport protocols (pHost, CoNEXT
2015; Homa, SIGCOMM 2018). Messages are granted in the order of their
offers; these protocols prefer short ones, which here need no grant.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

_UNDER_WAY_S = 0.05
"""Time that the link takes for what is under way."""
_MIN_WINDOW_BYTES = 32 * 1024
_SENDERS = 2
"""Messages that share the window, so that the link is not idle while
one sender is slow."""
_MIN_GRANT_SHARE = 0.5
"""Part of a message's share below which no grant is worth a frame."""
_EXPIRES_AFTER_S = 0.2
"""Time without a byte after which the next message is granted what a
sender has not used; it may still use it."""
_MAX_RTT_S = 0.1
"""Bounds what senders say, which may include waits in queues."""


class _Message:
    """
    One message that was offered and has not been received.

    :param size: its size in bytes.
    :param rtt_s: round-trip time to its sender, in seconds.
    """

    __slots__ = ("expires_at", "rtt_s", "under_way", "ungranted", "unreceived")

    def __init__(self, size: int, rtt_s: float) -> None:
        self.ungranted = self.unreceived = size
        self.rtt_s = rtt_s
        self.under_way = 0
        self.expires_at = math.inf

    @property
    def unused_bytes(self) -> int:
        """Bytes that are granted and not received, also if expired."""
        return self.unreceived - self.ungranted


class ReceiveGrants:
    """
    Decides how much of which message may be sent.

    Keys identify messages. Times are in seconds of any one clock.

    :param bytes_per_s: rate of the receiving link.
    """

    __slots__ = ("_bytes_per_s", "_messages", "_window_bytes")

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._window_bytes = max(
            int(bytes_per_s * _UNDER_WAY_S), _MIN_WINDOW_BYTES
        )
        self._messages: dict[Hashable, _Message] = {}

    @property
    def backlog_s(self) -> float:
        """Seconds that the link takes for all offered messages."""
        unreceived = sum(item.unreceived for item in self._messages.values())
        return unreceived / self._bytes_per_s

    @property
    def under_way_bytes(self) -> int:
        """Bytes that are granted and neither received nor expired."""
        return sum(item.under_way for item in self._messages.values())

    @property
    def next_expiry(self) -> float:
        """When the next unused grant expires, infinite if none is."""
        return min(
            (item.expires_at for item in self._messages.values()),
            default=math.inf,
        )

    def offer(self, key: Hashable, size: int, rtt_s: float = 0.0) -> None:
        """
        Add a message that a sender wants to send.

        :param size: its size in bytes.
        :param rtt_s: round-trip time to the sender. What is under way
            may exceed the window by what the link takes meanwhile.
        """
        self._messages[key] = _Message(size, min(max(rtt_s, 0.0), _MAX_RTT_S))

    def received(self, key: Hashable, size: int, now: float) -> bool:
        """
        Note received bytes of a message, with or without a grant.

        :return: whether the message is complete.
        """
        item = self._messages.get(key)
        if item is None:
            return True
        item.unreceived -= size
        if item.unreceived <= 0:
            del self._messages[key]
            return True
        item.ungranted = min(item.ungranted, item.unreceived)
        item.under_way = max(item.under_way - size, 0)
        item.expires_at = (
            now + _EXPIRES_AFTER_S if item.under_way else math.inf
        )
        return False

    def withdraw(self, key: Hashable) -> None:
        """Remove a message that will not be received."""
        self._messages.pop(key, None)

    def issue(self, now: float) -> list[tuple[Hashable, int]]:
        """Return new grants as keys of messages and sizes in bytes."""
        self._expire(now)
        under_way = self.under_way_bytes
        grants: list[tuple[Hashable, int]] = []
        for key, item in self._messages.items():
            size = self._grant_size(item, under_way)
            if not size:
                continue
            item.ungranted -= size
            item.under_way += size
            item.expires_at = now + _EXPIRES_AFTER_S
            under_way += size
            grants.append((key, size))
        return grants

    def _expire(self, now: float) -> None:
        """Leave what senders have not used in time to others."""
        for item in self._messages.values():
            if item.expires_at <= now:
                item.under_way = 0
                item.expires_at = math.inf

    def _grant_size(self, item: _Message, under_way: int) -> int:
        """
        Return how much more of a message may be sent now.

        :param under_way: bytes under way of all messages.
        """
        rtt_bytes = int(self._bytes_per_s * item.rtt_s)
        window_bytes = self._window_bytes + rtt_bytes
        share_bytes = window_bytes // _SENDERS
        size = min(
            item.ungranted,
            window_bytes - under_way,
            share_bytes - item.unused_bytes,
        )
        is_worth_a_frame = size >= min(
            item.ungranted, share_bytes * _MIN_GRANT_SHARE
        )
        return size if is_worth_a_frame else 0
