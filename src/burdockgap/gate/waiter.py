"""A request that waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from burdockgap.verdict import Refusal


class Waiter:
    """
    An entry of the queue for slots.

    :param deadline: clock time at which the caller gives up.
    """

    __slots__ = ("deadline", "decided", "granted", "refusal")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.decided = anyio.Event()
        self.granted = False
        self.refusal: Refusal | None = None

    def grant(self) -> None:
        """Give the waiter a slot."""
        self.granted = True
        self.decided.set()

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request."""
        self.refusal = refusal
        self.decided.set()
