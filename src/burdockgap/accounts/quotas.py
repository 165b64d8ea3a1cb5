"""Quotas of accounts that all daemons keep together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from burdockgap.accounts.holders import Holders
from burdockgap.accounts.token_requests import TokenRequests
from burdockgap.fleet.datagrams import QUOTA_ASK, QUOTA_GRANT, QUOTA_POOL
from burdockgap.fleet.roster import MEMBER_TIMEOUT_S
from burdockgap.scheduling.quota_limits import POOL_INTERVAL_S, QuotaLimits
from burdockgap.scheduling.quota_shares import QuotaShare
from burdockgap.wire.checks import MAX_COUNT, check_integer, check_number

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from burdockgap.accounts.account import Account
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.roster import Roster
    from burdockgap.scheduling.quota_limits import QuotaBounds

_ENTRIES_PER_MESSAGE = 20
"""Accounts in one datagram, which has to fit into one packet."""
_LATE_S = 4 * POOL_INTERVAL_S
"""Delay of the own timer above which this process was suspended. What
others sent meanwhile is too old to be added."""


class Quotas:
    """
    This daemon's part of the quotas of all accounts.

    :param roster: the members.
    :param datagrams: carries tokens between daemons.
    :param bounds: what may be exceeded.
    :param knows_members: returns whether the members were read from the
        store.
    """

    __slots__ = (
        "_accounts",
        "_bounds",
        "_datagrams",
        "_deposits",
        "_holders",
        "_knows_members",
        "_loop",
        "_requests",
        "_roster",
        "_sent",
        "_shares",
        "_started_at",
        "_ticked_at",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        datagrams: Datagrams,
        bounds: QuotaBounds,
        knows_members: Callable[[], bool],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._roster = roster
        self._datagrams = datagrams
        self._bounds = bounds
        self._knows_members = knows_members
        self._holders = Holders(roster)
        self._accounts: Mapping[str, Account] = {}
        self._shares: dict[str, QuotaShare] = {}
        self._requests: dict[str, TokenRequests] = {}
        self._sent = 0
        self._deposits: dict[str, tuple[int, int]] = {}
        self._started_at = self._ticked_at = self._loop.time()
        datagrams.handlers[QUOTA_ASK] = self._handle_ask
        datagrams.handlers[QUOTA_GRANT] = self._handle_grant
        datagrams.handlers[QUOTA_POOL] = self._handle_pool

    @property
    def pooled(self) -> float:
        """Tokens that this daemon holds for others."""
        return sum(share.pooled for share in self._shares.values())

    def configure(self, accounts: Mapping[str, Account]) -> None:
        """
        Put the limits of a configuration in force.

        Accounts that are gone keep their tokens: one that comes back
        at once must not begin with full ones.
        """
        self._accounts = accounts
        self._holders.refresh()
        now = self._loop.time()
        filled = now - self._started_at > MEMBER_TIMEOUT_S
        for account in accounts.values():
            if not account.rate_per_s:
                continue
            limits = self._limits(account)
            share = self._shares.get(account.name)
            if share is not None:
                share.change(limits, now)
                continue
            share = self._shares[account.name] = QuotaShare(
                limits,
                now,
                filled=filled,
                holds=self._roster.own.name in self._holders.of(account.name),
            )
            self._requests[account.name] = TokenRequests(
                account.name,
                share,
                holders=self._holders,
                roster=self._roster,
                send=self._datagrams.send,
            )

    async def acquire(self, account: Account) -> float:
        """
        Take a token for a request that is to be sent to a server.

        :return: 0 if there was one, else the seconds after which the
            client should return.
        """
        if not account.rate_per_s:
            return 0.0
        share = self._shares[account.name]
        now = self._loop.time()
        if share.take(now):
            return 0.0
        if share.may_ask(now) and await self._requests[account.name].get():
            return 0.0
        return share.return_after_s(self._loop.time())

    def give_back(self, account: Account) -> None:
        """Return the token of a request that was not sent."""
        if account.rate_per_s:
            self._shares[account.name].give_back()

    async def run(self) -> None:
        """Pass tokens on to holders periodically until cancelled."""
        while True:
            self._ticked_at = self._loop.time()
            if self._shares:
                self._tick(self._ticked_at)
            await asyncio.sleep(POOL_INTERVAL_S)

    def _tick(self, now: float) -> None:
        own = self._roster.own.name
        self._holders.refresh()
        outgoing: dict[str, list[list[Any]]] = {}
        for name, share in self._shares.items():
            account = self._accounts.get(name)
            if account is None or not account.rate_per_s:
                continue
            share.change(self._limits(account), now)
            holders = self._holders.of(name)
            tokens = share.withdraw_surplus(now, holds=own in holders)
            if not tokens:
                continue
            holder = self._holders.next_for(name)
            if holder == own:
                share.deposit(tokens)
            else:
                outgoing.setdefault(holder, []).append([name, tokens])
        for receiver, entries in outgoing.items():
            self._send_tokens(receiver, entries)

    def _send_tokens(self, receiver: str, entries: list[list[Any]]) -> None:
        member, own = self._roster.member(receiver), self._roster.own
        if member is None:
            return
        for first in range(0, len(entries), _ENTRIES_PER_MESSAGE):
            self._sent += 1
            self._datagrams.send(
                member.address,
                QUOTA_POOL,
                own.name,
                own.incarnation,
                self._sent,
                entries[first : first + _ENTRIES_PER_MESSAGE],
            )

    def _limits(self, account: Account) -> QuotaLimits:
        # A daemon that has just started creates nothing until it knows
        # by how many others the rate is divided.
        is_new = self._loop.time() - self._started_at <= MEMBER_TIMEOUT_S
        creates = not is_new or self._knows_members()
        return QuotaLimits(
            rate_per_s=account.rate_per_s if creates else 0.0,
            burst=account.burst,
            bounds=self._bounds,
            known=self._holders.known,
        )

    def _handle_ask(self, values: list[Any]) -> None:
        name, account, number, wanted = values
        member = self._roster.member(name)
        share = self._shares.get(account)
        if member is None or share is None:
            return
        wanted = check_integer(wanted, "wanted", most=MAX_COUNT)
        self._datagrams.send(
            member.address, QUOTA_GRANT, account, number, share.lend(wanted)
        )

    def _handle_grant(self, values: list[Any]) -> None:
        account, number, granted = values
        requests = self._requests.get(account)
        if requests is not None:
            requests.granted(
                check_integer(number, "number"),
                check_integer(granted, "granted", most=MAX_COUNT),
            )

    def _handle_pool(self, values: list[Any]) -> None:
        name, incarnation, number, entries = values
        if self._loop.time() - self._ticked_at > _LATE_S:
            return
        if self._roster.member(name) is None:
            return
        last = self._deposits.get(name)
        if last is not None and last[0] == incarnation and number <= last[1]:
            # The network may deliver a datagram twice.
            return
        self._deposits[name] = (incarnation, check_integer(number, "number"))
        for account, tokens in entries:
            share = self._shares.get(account)
            if share is not None:
                share.deposit(check_number(tokens, "tokens"))
