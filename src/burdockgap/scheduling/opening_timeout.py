"""
How long the opening of a connection may take.

Addresses a full link: packets of a new connection wait in its queue for
longer than the usual timeout, and each further attempt would wait in it
again. The timeout follows the delay, so that one of them succeeds.
"""

from __future__ import annotations

_MIN_TIMEOUT_S = 0.5
"""Allows for a 40 ms round trip between regions and a lost packet."""
_MAX_TIMEOUT_S = 2.0
"""A peer that is gone is given up after this time at the latest."""
_FACTOR = 3.0
"""The next attempt may take this many times as long as the last one. An
attempt whose first packet was lost goes on after 1 s only."""


class OpeningTimeout:
    """
    A timeout that grows with the delays that were seen.

    :ivar seconds: the timeout of the next attempt.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = _MIN_TIMEOUT_S

    def opened(self, took_s: float) -> None:
        """Note how long a connection took to open."""
        self.seconds = min(
            max(took_s * _FACTOR, _MIN_TIMEOUT_S), _MAX_TIMEOUT_S
        )

    def expired(self) -> None:
        """Note an attempt that did not end within the timeout."""
        self.seconds = min(self.seconds * _FACTOR, _MAX_TIMEOUT_S)
