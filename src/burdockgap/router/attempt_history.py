"""History of the attempts of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry


class AttemptHistory:
    """
    Records which servers refused and whether an attempt may have run.

    :ivar count: number of refused attempts, including those for which
        no server was found.
    """

    __slots__ = (
        "_current_server",
        "_owner_hint",
        "_may_have_run",
        "_refused_sessions",
        "_unreachable_incarnations",
        "count",
    )

    def __init__(self) -> None:
        self.count = 0
        self._current_server: SessionEntry | None = None
        self._owner_hint = ""
        self._may_have_run = False
        self._refused_sessions: list[int] = []
        self._unreachable_incarnations: set[int] = set()

    def record_start(self, entry: SessionEntry) -> None:
        """Record the server that the next attempt is sent to."""
        self._current_server = entry

    def record_hedge(self) -> None:
        """Exclude the current server from the choice for a hedge."""
        if self._current_server is not None:
            self._refused_sessions.append(self._current_server.session_id)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record the refusal of the attempt that was started last."""
        self.count += 1
        self._owner_hint = refusal.owner
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            self._may_have_run = True
        server, self._current_server = self._current_server, None
        if server is None:
            return
        if refusal.reason is not Reason.ACTIVATING:
            self._refused_sessions.append(server.session_id)
        if refusal.reason is Reason.UNREACHABLE:
            self._unreachable_incarnations.add(server.incarnation)

    def was_unreachable(self, entry: SessionEntry) -> bool:
        """Tell whether an attempt found a server unreachable."""
        return entry.incarnation in self._unreachable_incarnations

    def choose_owner(self, owners: list[SessionEntry]) -> SessionEntry:
        """
        Return the owner to try next.

        The owner named by the last refusal has priority, then servers
        that have not refused, then the one that refused longest ago.
        """
        for entry in owners:
            if self._owner_hint and entry.peer_address == self._owner_hint:
                return entry
        return min(owners, key=lambda entry: self._rank(entry.session_id))

    def untried(self, servers: list[SessionEntry]) -> list[SessionEntry]:
        """Return the servers that have not refused, or all of them."""
        not_refused = [
            entry
            for entry in servers
            if entry.session_id not in self._refused_sessions
        ]
        return not_refused or servers

    def overall_refusal(self, last: Refusal) -> Refusal:
        """
        Return the refusal that answers the whole request.

        If an earlier attempt may have run, the request may have run as
        well, whatever the verdict of the last attempt is.

        :param last: the refusal of the last attempt.
        """
        if not self._may_have_run or last.verdict is Verdict.MAY_HAVE_RUN:
            return last
        return Refusal(Verdict.MAY_HAVE_RUN, last.reason, last.detail)

    def _rank(self, session_id: int) -> int:
        if session_id not in self._refused_sessions:
            return -1
        return max(
            position
            for position, refused in enumerate(self._refused_sessions)
            if refused == session_id
        )
