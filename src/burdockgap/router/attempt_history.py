"""The attempts that were made at one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry


class AttemptHistory:
    """
    Remembers who was tried and whether any attempt may have run.

    :ivar count: number of attempts, also those that found no server.
    """

    __slots__ = ("_current", "_hint", "_may_have_run", "_refused", "count")

    def __init__(self) -> None:
        self.count = 0
        self._current = 0
        self._hint = ""
        self._may_have_run = False
        self._refused: list[int] = []

    def started(self, entry: SessionEntry) -> None:
        """Note that an attempt goes to a server."""
        self._current = entry.session_id

    def hedged(self) -> None:
        """Note that the server tried last is to be avoided."""
        if self._current:
            self._refused.append(self._current)

    def failed(self, refusal: Refusal) -> None:
        """Note the outcome of the attempt that was started last."""
        self.count += 1
        self._hint = refusal.owner
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            self._may_have_run = True
        if refusal.reason is not Reason.ACTIVATING and self._current:
            self._refused.append(self._current)
        self._current = 0

    def prefer(self, owners: list[SessionEntry]) -> SessionEntry:
        """
        Return the owner to try next.

        A server that a refusal named comes first, then those that have
        not refused, then whoever refused longest ago.
        """
        for entry in owners:
            if self._hint and entry.peer_address == self._hint:
                return entry
        return min(owners, key=lambda entry: self._rank(entry.session_id))

    def untried(self, servers: list[SessionEntry]) -> list[SessionEntry]:
        """Return the servers that have not refused, or all of them."""
        fresh = [
            entry for entry in servers if entry.session_id not in self._refused
        ]
        return fresh or servers

    def overall(self, last: Refusal) -> Refusal:
        """
        Return the outcome of the whole request.

        If an earlier attempt may have run, so may the request, whatever
        the last attempt's verdict is.
        """
        if not self._may_have_run or last.verdict is Verdict.MAY_HAVE_RUN:
            return last
        return Refusal(Verdict.MAY_HAVE_RUN, last.reason, last.detail)

    def _rank(self, session_id: int) -> int:
        if session_id not in self._refused:
            return -1
        return max(
            position
            for position, refused in enumerate(self._refused)
            if refused == session_id
        )
