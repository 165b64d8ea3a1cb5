"""A probe of a connection."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Ping(Message):
    """Asks for a reply to prove that a connection works."""

    __slots__ = ()
    TAG = 71
