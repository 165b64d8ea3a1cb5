"""The coordinator's knowledge of its members from their reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.lease import MARGIN_S
from burdockgap.shards.reports import TARGET_UNKNOWN, Report

if TYPE_CHECKING:
    from burdockgap.shards.authority import Authority
    from burdockgap.shards.shard import Shard

MAX_REPORT_AGE_S = 1.0
"""Age of a report above which its server is assigned no more keys."""
_OWNER_TIMEOUT_S = 2.0
"""Silence of an owner after which its keys are reassigned. A killed
daemon restarts within about 1 s, so it keeps its keys."""


class LatestReports:
    """
    The members' latest reports and the leases granted in response.

    :param authority: tells when the leases of earlier coordinators have
        expired.
    :param since: when this member became coordinator, in seconds.
    :param term: the coordinator's term.
    """

    __slots__ = (
        "_authority",
        "_lease_ends",
        "_received",
        "_reports",
        "since",
        "term",
    )

    def __init__(
        self, *, authority: Authority, since: float, term: int
    ) -> None:
        self._authority = authority
        self._reports: dict[str, Report] = {}
        self._received: dict[str, float] = {}
        self._lease_ends: dict[str, float] = {}
        self.since = since
        self.term = term

    def record(self, report: Report, now: float) -> None:
        """Store a member's newest report."""
        self._reports[report.name] = report
        self._received[report.name] = now

    def note_lease(self, name: str, end: float) -> None:
        """Store the end of the lease that was sent to a member."""
        self._lease_ends[name] = end

    def silent_s(self, name: str, now: float) -> float:
        """Return the time since a member's last report, in seconds."""
        return now - self._received.get(name, self.since)

    def fresh(self, now: float) -> dict[str, Report]:
        """Return the reports no older than :data:`MAX_REPORT_AGE_S`."""
        return {
            name: report
            for name, report in self._reports.items()
            if now - self._received[name] < MAX_REPORT_AGE_S
        }

    def count_fresh(self, now: float) -> int:
        """Return the number of members that report."""
        return len(self.fresh(now))

    def is_awaited(self, shard: Shard, now: float) -> bool:
        """
        Return whether an unusable owner keeps its range for now.

        An owner whose daemon has just started keeps it while its target
        is not known yet. A silent owner keeps it for
        :data:`_OWNER_TIMEOUT_S`, and until its lease has expired.
        """
        silent_s = self.silent_s(shard.owner, now)
        report = self._reports.get(shard.owner)
        if silent_s < MAX_REPORT_AGE_S and report is not None:
            return report.born == TARGET_UNKNOWN
        return silent_s < _OWNER_TIMEOUT_S or not self.is_lease_expired(
            shard.owner, now
        )

    def holds_nothing(self, shard: Shard, now: float) -> bool:
        """Return whether an owner certainly holds no keys any more."""
        report = self._reports.get(shard.owner)
        if (
            self.silent_s(shard.owner, now) < MAX_REPORT_AGE_S
            and report is not None
        ):
            return report.born not in (0, shard.born)
        return self.is_lease_expired(shard.owner, now)

    def is_lease_expired(self, name: str, now: float) -> bool:
        """Return whether a member's lease has certainly expired."""
        if self._authority.safe_at is None:
            return False
        end = max(self._lease_ends.get(name, 0.0), self._authority.safe_at)
        return now > end + MARGIN_S

    def is_lost(self, name: str, now: float) -> bool:
        """Return whether a member is silent and its lease expired."""
        return self.silent_s(
            name, now
        ) > _OWNER_TIMEOUT_S and self.is_lease_expired(name, now)

    def is_sole_holder(self, shard: Shard, revision: int) -> bool:
        """
        Return whether all earlier holders have released a range.

        :param revision: lowest revision of the assignment that the
            owner's report must follow.
        """
        report = self._reports.get(shard.owner)
        if report is None or report.born != shard.born:
            return False
        if report.term != self.term or report.revision < revision:
            return False
        return not any(
            first <= shard.last and shard.first <= last
            for first, last, _fence in report.pending
        )

    def is_token_unusable(self, shard: Shard) -> bool:
        """Return whether the owner needs a higher fencing token."""
        report = self._reports.get(shard.owner)
        if report is None or report.born != shard.born:
            return False
        return any(
            fence == shard.fence
            and first <= shard.last
            and shard.first <= last
            for first, last, fence in report.unusable
        )
