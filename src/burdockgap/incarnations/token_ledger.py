"""The processes that fencing tokens were sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.incarnations.target_process import TargetProcess


class TokenLedger:
    """
    Keeps each fencing token to the process that it was first sent to.

    A token may have been applied although no response arrived, so that
    sending it counts.
    """

    __slots__ = ("_processes",)

    def __init__(self) -> None:
        self._processes: dict[int, TargetProcess] = {}

    def note_sent(self, fence: int, process: TargetProcess) -> None:
        """Note that a token is sent to a process."""
        self._processes.setdefault(fence, process)

    def recipient(self, fence: int) -> TargetProcess | None:
        """Return the process that a token was sent to, if any."""
        process = self._processes.get(fence)
        return None if process is None else process.resolved

    def may_send(self, fence: int, process: TargetProcess) -> bool:
        """Return whether no other process may have had a token."""
        recipient = self.recipient(fence)
        if recipient is None:
            return True
        process = process.resolved
        return process is recipient or (
            process.born != 0 and process.born == recipient.born
        )

    def retain(self, fences: Iterable[int]) -> None:
        """Forget all tokens but these."""
        kept = set(fences)
        self._processes = {
            fence: process
            for fence, process in self._processes.items()
            if fence in kept
        }
