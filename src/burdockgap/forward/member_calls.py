"""Calls to the daemons of other targets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.no_room_reasons import NO_ROOM_REASONS
from burdockgap.forward.outcome import Outcome
from burdockgap.hop.call_kinds import FORWARD, GET_OUTCOME
from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.call import Call
    from burdockgap.hop.peer_connections import PeerConnections

REPLY_GRACE_S = 0.05
"""How long after the deadline a target's daemon may still reply."""
_RETRY_DELAY_S = 0.03


class MemberCalls:
    """
    Sends calls to other daemons and learns their load.

    :param roster: the members.
    :param peer_connections: connections to other daemons.
    :param clock: keeps counting while the machine is suspended.
    :param on_event: logs a decision.
    """

    __slots__ = (
        "_clock",
        "_loop",
        "_on_event",
        "_peer_connections",
        "_roster",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        peer_connections: PeerConnections,
        clock: Clock,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._roster = roster
        self._peer_connections = peer_connections
        self._clock = clock
        self._on_event = on_event

    async def call(self, member: Member, call: Call) -> Outcome:
        """Send a call to a member's daemon and return the outcome."""
        sent_at = self._roster.note_call(member.name)
        try:
            outcome = await self._exchange(member, call)
        finally:
            self._roster.note_call_ended(member.name, sent_at)
        if outcome.load_error is not None:
            self._roster.reject_load(member.name, outcome.load_error)
        if outcome.load is not None:
            self._roster.note_load(
                member.name, outcome.load, member.incarnation
            )
        if outcome.notice is not None:
            self._roster.note_notice(member.name, outcome.notice)
        # A full link has room for requests without long bodies.
        is_full = outcome.reason is not Reason.LINK_FULL
        if is_full and outcome.reason in NO_ROOM_REASONS:
            self._roster.note_refusal(member.name)
        return outcome

    async def _exchange(self, member: Member, call: Call) -> Outcome:
        call.notice = self._roster.notice(member.name)
        call.sent_at = self._clock.now()
        reply_deadline = self._loop.time() + call.deadline_s + REPLY_GRACE_S
        try:
            async with asyncio.timeout_at(reply_deadline):
                reply = await self._peer_connections.call(
                    member.address,
                    FORWARD,
                    call.encode(),
                    max_wait_s=call.patience_s,
                )
            return Outcome.decode(reply)
        except TimeoutError:
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE, sent=True
            )
        except PeerCallError as exc:
            return await self._failed_call(member, call, exc, reply_deadline)
        except ValueError as exc:
            self._on_event(
                "bad_reply", {"id": call.request_id, "why": str(exc)}
            )
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.TRUNCATED, sent=True
            )

    async def _failed_call(
        self,
        member: Member,
        call: Call,
        exc: PeerCallError,
        reply_deadline: float,
    ) -> Outcome:
        """Return the outcome of a call that got no reply."""
        if not exc.peer_is_alive:
            self._roster.mark_unreachable(member.name)
        if not exc.sent:
            return Outcome(Verdict.NOT_RUN, reason=Reason.UNREACHABLE)
        if call.idempotent:
            return Outcome(
                Verdict.MAY_HAVE_RUN,
                reason=Reason.CONNECTION_LOST,
                sent=True,
            )
        return await self._settle(member, call, reply_deadline)

    async def _settle(
        self, member: Member, call: Call, reply_deadline: float
    ) -> Outcome:
        """Ask for the outcome of a call whose connection was lost."""
        payload = [member.incarnation, call.run_id, call.attempt]
        while self._loop.time() < reply_deadline:
            try:
                async with asyncio.timeout_at(reply_deadline):
                    reply = await self._peer_connections.call(
                        member.address, GET_OUTCOME, payload
                    )
                if reply is None:
                    break
                return Outcome.decode(reply)
            except TimeoutError:
                break
            except PeerCallError as exc:
                if exc.peer_is_alive:
                    # The reply does not fit into the memory here.
                    break
                await asyncio.sleep(_RETRY_DELAY_S)
        return Outcome(
            Verdict.MAY_HAVE_RUN, reason=Reason.CONNECTION_LOST, sent=True
        )
