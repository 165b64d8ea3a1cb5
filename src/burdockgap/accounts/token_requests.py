"""Requests of one daemon for tokens that others hold."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.fleet.datagrams import QUOTA_ASK

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.accounts.holders import Holders
    from burdockgap.fleet.roster import Roster
    from burdockgap.scheduling.quota_shares import QuotaShare

_REPLY_TIMEOUT_S = 0.4
"""Tokens that arrive later are not used, so that those on the way stay
a small part of the rate. With 0.25 s and one-way delays up to 0.2 s,
9 % of an account's requests below its limit were refused; with 0.4 s,
none."""
_MAX_WAITING = 256
"""Requests of one account that wait for tokens at once; at 89 daemons
no limit permits more."""


class TokenRequests:
    """
    Obtains tokens of one account for requests that arrive here.

    All requests that wait share one message to a holder, and one
    message is on its way at a time.

    :param account: the account's name.
    :param share: this daemon's tokens.
    :param holders: the members that pool the tokens.
    :param roster: the members.
    :param send: sends a datagram to an address.
    """

    __slots__ = (
        "_account",
        "_holders",
        "_loop",
        "_number",
        "_reply",
        "_roster",
        "_send",
        "_share",
        "_silent",
        "_task",
        "_waiting",
    )

    def __init__(
        self,
        account: str,
        share: QuotaShare,
        *,
        holders: Holders,
        roster: Roster,
        send: Callable[..., None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._account = account
        self._share = share
        self._holders = holders
        self._roster = roster
        self._send = send
        self._waiting: list[asyncio.Future[bool]] = []
        self._task: asyncio.Task[None] | None = None
        # Not a number of an earlier incarnation of this daemon.
        self._number = random.getrandbits(61)
        self._reply: asyncio.Future[int] | None = None
        self._silent: set[str] = set()

    async def get(self) -> bool:
        """Obtain a token; return whether there was one."""
        if len(self._waiting) >= _MAX_WAITING:
            return False
        waiter: asyncio.Future[bool] = self._loop.create_future()
        self._waiting.append(waiter)
        if self._task is None:
            self._task = self._loop.create_task(self._ask())
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self._share.give_back()
            raise

    def granted(self, number: int, count: int) -> None:
        """Process the reply of a holder; late ones are ignored."""
        reply = self._reply
        if number == self._number and reply is not None and not reply.done():
            reply.set_result(count)

    async def _ask(self) -> None:
        holders = list(self._holders.of(self._account))
        random.shuffle(holders)
        # One that did not answer is asked only if the other is empty.
        holders.sort(key=lambda name: name in self._silent)
        try:
            while self._waiting and holders:
                wanted = len(self._waiting)
                count = min(await self._ask_one(holders[0], wanted), wanted)
                self._serve(count)
                if count < wanted:
                    # Its pool is empty, or it does not answer.
                    holders.pop(0)
            self._share.note_reply(
                self._loop.time(), granted=not self._waiting
            )
        finally:
            self._task = None
            waiting, self._waiting = self._waiting, []
            for waiter in waiting:
                if not waiter.done():
                    waiter.set_result(False)

    async def _ask_one(self, name: str, wanted: int) -> int:
        own = self._roster.own
        holder = self._roster.member(name)
        if holder is None:
            return 0
        if holder is own:
            return self._share.lend(wanted)
        self._number += 1
        asked_at = self._loop.time()
        self._reply = self._loop.create_future()
        self._send(
            holder.address,
            QUOTA_ASK,
            own.name,
            self._account,
            self._number,
            wanted,
        )
        try:
            async with asyncio.timeout_at(asked_at + _REPLY_TIMEOUT_S):
                count = await self._reply
        except TimeoutError:
            self._silent.add(name)
            return 0
        finally:
            self._reply = None
        self._silent.discard(name)
        # After a suspension of the process the reply may be older.
        is_late = self._loop.time() - asked_at > _REPLY_TIMEOUT_S + 0.1
        return 0 if is_late else count

    def _serve(self, count: int) -> None:
        """Give tokens to the first that wait, the rest back."""
        while count and self._waiting:
            waiter = self._waiting.pop(0)
            if not waiter.done():
                waiter.set_result(True)
                count -= 1
        self._share.give_back(count)
