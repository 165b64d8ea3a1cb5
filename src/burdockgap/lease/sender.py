"""The interface for sending datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.wire import Message


class Sender(Protocol):
    """Sends datagrams, which may be lost."""

    def send(self, msg: Message, address: str) -> None:
        """
        Send a message without waiting.

        :param address: the receiver's ``ip:port``.
        """
        ...
