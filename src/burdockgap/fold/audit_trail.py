"""The audit trail of changes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.fold.messages.audit_entry import AuditEntry

MAX_ENTRIES = 1000


class AuditTrail:
    """
    The newest 1000 entries of one stream, oldest first.

    Each stream has a trail of its own, since the order in which records
    of different streams are folded differs between daemons. Older
    entries are dropped.

    :param entries: entries to start with, oldest first.
    """

    __slots__ = ("_entries",)

    def __init__(self, entries: Iterable[AuditEntry] = ()) -> None:
        self._entries = deque(entries, maxlen=MAX_ENTRIES)

    def add(self, entry: AuditEntry) -> None:
        """Add an entry and drop the oldest if there are too many."""
        self._entries.append(entry)

    def entries(self) -> list[AuditEntry]:
        """Return the entries, oldest first."""
        return list(self._entries)
