"""Client for grant and release calls to the local target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response_limits import ResponseLimits
from burdockgap.incarnations.process_evidence import ProcessEvidence
from burdockgap.incarnations.token_ledger import TokenLedger
from burdockgap.shards.target_links import TargetLinks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockgap.forward.target_protocol import TargetProtocol
    from burdockgap.forward.target_state import TargetState
    from burdockgap.shards.shard import Shard
    from burdockgap.shards.target_link import TargetLink

CALL_TIMEOUT_S = 0.4
_RELEASE_TIMEOUT_S = 2.0
_IDLE_TIMEOUT_S = 8.0
_MAX_RESPONSE_BYTES = 64 * 1024


class GrantClient:
    """
    Grants key ranges to the local target and releases them.

    A fencing token is sent to one process only. Where a connection
    leads is known from :class:`ProcessEvidence`, never from the fact
    that another one is open.

    :param state: state of the target.
    :param protocol: encodes and decodes the target's messages.
    :param on_event: logs changes of the connections to the target.
    """

    __slots__ = (
        "_evidence",
        "_limits",
        "_links",
        "_loop",
        "_protocol",
        "_release_pool",
        "_state",
        "_tokens",
    )

    def __init__(
        self,
        *,
        state: TargetState,
        protocol: TargetProtocol,
        on_event: Callable[[str, dict[str, object]], None] = (
            lambda _event, _fields: None
        ),
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._protocol = protocol
        self._limits = ResponseLimits(body_bytes=_MAX_RESPONSE_BYTES)
        self._evidence = ProcessEvidence()
        self._tokens = TokenLedger()
        self._links = TargetLinks(
            state=state,
            evidence=self._evidence,
            limits=self._limits,
            on_event=on_event,
        )
        self._release_pool: ClientPool | None = None

    def may_grant(self, shard: Shard) -> bool:
        """Return whether a range may be granted to the target now."""
        return self._choose_link(shard) is not None

    def is_token_used_up(self, fence: int) -> bool:
        """
        Return whether a fencing token can be sent to nobody any more.

        It was sent to a process of which it is not certain that it is
        still the one that listens.
        """
        if self._tokens.recipient(fence) is None:
            return False
        self._note_announcement()
        return not any(
            self._tokens.may_send(fence, link.process)
            for link in self._links.usable()
        )

    def may_be_held_by_another(self, shard: Shard) -> bool:
        """
        Return whether another process may have got a range's token.

        Not the one for which the range was assigned.
        """
        recipient = self._tokens.recipient(shard.fence)
        return recipient is not None and recipient.born != shard.born

    def retain_tokens(self, fences: Iterable[int]) -> None:
        """Forget the recipients of all fencing tokens but these."""
        self._tokens.retain(fences)

    async def maintain_links(self) -> None:
        """Keep connections to the target open until cancelled."""
        await self._links.run()

    async def grant(self, shard: Shard, hold_s: float, handover: str) -> int:
        """
        Grant a range and return the HTTP status of the response.

        :param hold_s: duration of the grant from the arrival of the
            call at the target, in seconds.
        :param handover: handover of the last holder, "" if there is
            none.
        :raises ExchangeError: if no response arrived, or no connection
            leads to a process that may be granted the range.
        :raises TimeoutError: if no response arrived within
            :data:`CALL_TIMEOUT_S`.
        """
        data = self._protocol.encode_grant(
            first=shard.first,
            last=shard.last,
            fence=shard.fence,
            hold_s=hold_s,
            handover=handover,
        )
        link = self._choose_link(shard)
        if link is None:
            raise ExchangeError(
                "no connection is known to lead to the range's target",
                sent=False,
            )
        self._tokens.note_sent(shard.fence, link.process)
        sent_at = self._loop.time()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            response = await link.exchange(
                data, self._protocol.is_control_response
            )
        self._evidence.answered(link.process, sent_at)
        return response.status

    async def release(self, first: int, last: int, fence: int) -> str | None:
        """
        Release a range once no request on its keys is running.

        :return: the target's handover, "" if it gave none or no longer
            runs, ``None`` if it did not answer.
        """
        born = self._state.born
        data = self._protocol.encode_release(
            first=first, last=last, fence=fence
        )
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                # Responses to grants and releases have no id. A second
                # copy of another one must not end the ownership while
                # requests are still running.
                response = await self._pool().exchange(
                    data,
                    accepts=self._protocol.is_control_response,
                    on_own_connection=True,
                )
        except TimeoutError:
            return None
        except ExchangeError as exc:
            if exc.refused:
                self._state.refused_connection(born)
                return ""
            return None
        return self._protocol.handover(response)

    def _choose_link(self, shard: Shard) -> TargetLink | None:
        """Return a connection over which a range may be granted."""
        if not self._state.up or self._state.born != shard.born:
            return None
        self._note_announcement()
        for link in self._links.usable():
            if self._evidence.is_presumed(
                link.process
            ) and self._tokens.may_send(shard.fence, link.process):
                return link
        return None

    def _note_announcement(self) -> None:
        if self._state.info is not None:
            self._evidence.announced(
                self._state.info.born,
                self._state.first_announced_at,
                self._state.announced_at,
            )

    def _pool(self) -> ClientPool:
        info = self._state.info
        if info is None:
            raise ExchangeError(
                "no target has announced itself to this daemon", sent=False
            )
        pool = self._release_pool
        if pool is None or pool.address != info.address:
            pool = self._release_pool = ClientPool(
                info.address,
                connect_timeout_s=CALL_TIMEOUT_S,
                idle_s=_IDLE_TIMEOUT_S,
                limits=self._limits,
            )
        return pool
