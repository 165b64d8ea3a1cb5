"""Broadcast of crash suspects to the other daemons of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.gate.quarantine import Quarantine
    from burdockgap.lease.sender import Sender

_SENDS_PER_CRASH = 3
_RESEND_INTERVAL_S = 0.3


class SuspectBroadcaster:
    """
    Broadcasts the requests in flight at a crash of the local target.

    Datagrams may be lost, so each is sent three times. Receiving one
    is idempotent.

    :param quarantine: records the suspects.
    :param folds: the folded state, with the sessions of all daemons.
    :param sender: sends datagrams.
    :param own_address: this daemon's peer address.
    """

    __slots__ = ("_folds", "_own_address", "_quarantine", "_sender")

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        folds: Folds,
        sender: Sender,
        own_address: str,
    ) -> None:
        self._quarantine = quarantine
        self._folds = folds
        self._sender = sender
        self._own_address = own_address

    async def run(self) -> None:
        """Broadcast the suspects of each crash until cancelled."""
        while True:
            await self._quarantine.wait_crash()
            for _ in range(_SENDS_PER_CRASH):
                self._broadcast()
                await anyio.sleep(_RESEND_INTERVAL_S)

    def _broadcast(self) -> None:
        msg = self._quarantine.export()
        for address in self._peer_addresses():
            self._sender.send(msg, address)

    def _peer_addresses(self) -> set[str]:
        addresses = {
            entry.peer_address
            for entry in self._folds.control.sessions.values()
            if entry.service == self._quarantine.service
        }
        return addresses - {self._own_address}
