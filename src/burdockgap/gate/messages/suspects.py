"""Suspects that a daemon sends to the others of its service."""

from __future__ import annotations

from burdockgap.gate.messages.suspect import Suspect
from burdockgap.wire.message import Message


class Suspects(Message):
    """
    Fingerprints that were in flight at recent crashes.

    :param service: the service of the crashed targets.
    :param entries: the suspects of the latest crashes.
    """

    __slots__ = ("service", "entries")
    TAG = 61

    def __init__(self, *, service: str, entries: list[Suspect]) -> None:
        self.service = service
        self.entries = entries
