"""Revisions of the assignment that members need for their leases."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from burdockgap.shards.lease import MAX_LAG_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.shards.reports import Report


class RequiredRevisions:
    """
    Oldest revision with which each member may extend its lease.

    A range that moves from one member to another stays with the first
    one until it has released it, so a member may hold its ranges under
    a somewhat older assignment. It has to know a revision that no
    longer names it as an earlier holder, and the newest one at its
    process's first report, as releases are not remembered beyond that.
    """

    __slots__ = ("_by_name", "_floor", "_recent")

    def __init__(self) -> None:
        self._by_name: dict[str, tuple[int, int]] = {}
        self._floor = 0
        self._recent: deque[tuple[float, int]] = deque()

    def note_revision(
        self, revision: int, dropped_names: Iterable[str], now: float
    ) -> None:
        """
        Note a revision that takes effect.

        :param dropped_names: members that are dropped as holders of
            ranges.
        :param now: when the revision may have taken effect at the
            earliest, in seconds.
        """
        self._recent.append((now, revision))
        for name in dropped_names:
            incarnation, _revision = self._by_name.get(name, (0, 0))
            self._by_name[name] = incarnation, revision

    def of(self, report: Report, revision: int, now: float) -> int:
        """
        Return the revision that the sender of a report needs.

        :param revision: the newest revision.
        :param now: the current time, in seconds.
        """
        incarnation, required = self._by_name.get(report.name, (0, 0))
        if incarnation != report.incarnation:
            required = revision
            self._by_name[report.name] = report.incarnation, required
        while self._recent and now - self._recent[0][0] > MAX_LAG_S:
            self._floor = self._recent.popleft()[1]
        return max(required, self._floor)
