"""Selection of the connections to close when memory is used up."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.resources.held_connection import HeldConnection

T = TypeVar("T")

MIN_WAITING_S = 0.5
"""Covers a round trip between regions and a lost packet, after which an
ordinary client goes on."""
ORDINARY_BYTES_PER_S = 16 * 1024
"""A client that is at least as fast is never closed. At this pace, a
response of 64 KiB takes 4 s."""


def select(
    connections: Iterable[HeldConnection[T]], missing_bytes: int
) -> list[HeldConnection[T]]:
    """
    Return the connections to close, least progress first.

    Of connections with equal progress, those that hold most are first.

    :param connections: those that wait for their peer.
    :param missing_bytes: bytes that are to become free; fewer are if
        the other connections make progress.
    """
    candidates = [
        held
        for held in connections
        if held.held_bytes > 0
        and held.waiting_s >= MIN_WAITING_S
        and held.bytes_per_s < ORDINARY_BYTES_PER_S
    ]
    candidates.sort(key=lambda held: (held.bytes_per_s, -held.held_bytes))
    selected: list[HeldConnection[T]] = []
    for held in candidates:
        if missing_bytes <= 0:
            break
        selected.append(held)
        missing_bytes -= held.held_bytes
    return selected
