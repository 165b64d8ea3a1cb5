"""Assignment of key ranges to servers by the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.key_rates import KeyRates
from burdockgap.shards.planner import Server, assign_unowned, balance
from burdockgap.shards.shard import KEY_COUNT, Shard, merge_adjacent

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.load import Load
    from burdockgap.shards.control_state import ControlState
    from burdockgap.shards.latest_reports import LatestReports
    from burdockgap.shards.reports import Report

_BALANCE_INTERVAL_S = 0.25
_MEMBER_SETTLE_S = 0.6
"""Time for other members to appear before the first assignment."""
_MAX_TARGET_WAIT_S = 3.0
"""Longest wait for the targets of known members before the first
assignment; targets announce themselves about once a second."""
_MIN_SERVICE_S = 0.005
"""Bounds the capacity of a target whose requests take no time."""
_UNKNOWN_SERVICE_S = 0.05
"""Used while no target of a service has run a request. All have the
same capacity then, unless one names a rate limit."""


class Assigner:
    """
    Plans the next revision of the assignment.

    :param roster: the members.
    :param reports: their latest reports.
    :param keyed_services: returns the services whose keys are owned.
    :param data_centres_out: returns the data centres that are taken out
        of service.
    """

    __slots__ = (
        "_balanced_at",
        "_reports",
        "_data_centres_out",
        "_keyed_services",
        "_rates",
        "_roster",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        reports: LatestReports,
        keyed_services: Callable[[], set[str]],
        data_centres_out: Callable[[], set[str]],
    ) -> None:
        self._roster = roster
        self._reports = reports
        self._keyed_services = keyed_services
        self._data_centres_out = data_centres_out
        self._rates: dict[str, KeyRates] = {}
        self._balanced_at = 0.0

    def add_key_samples(self, report: Report, now: float) -> None:
        """Add the requests that a member reports to the key rates."""
        member = self._roster.member(report.name)
        if member is None or not report.keys:
            return
        rates = self._rates.setdefault(
            member.service, KeyRates(now, KEY_COUNT)
        )
        rates.add(report.seen, report.keys)

    def plan(
        self, state: ControlState, now: float
    ) -> tuple[list[str], set[str]]:
        """
        Update the assignment of all keyed services.

        :param state: changed in place.
        :return: the reasons of the changes that are worth a write, and
            the names of the members that the new state drops as holders
            of keys.
        """
        is_balance_due = now - self._balanced_at >= _BALANCE_INTERVAL_S
        reasons: list[str] = []
        dropped_names: set[str] = set()
        for service in sorted(self._keyed_services()):
            servers = self._servers(service, now)
            rates = self._rates.setdefault(service, KeyRates(now, KEY_COUNT))
            rates.decay(now, len(servers))
            is_unassigned = not state.shards.get(service)
            if is_unassigned and self._waits_for_servers(
                service, servers, now
            ):
                continue
            reasons += self._update_holders(state, service, now, dropped_names)
            awaited_owners, gone = self._classify_owners(
                state, service, servers, now
            )
            dropped_names |= {name for name, _ in gone}
            if not servers:
                continue
            if self._assign(state, service, servers, awaited_owners, gone):
                reasons.append("unowned")
            if is_balance_due and balance(state, service, servers, rates):
                reasons.append("balance")
            state.shards[service] = merge_adjacent(state.shards[service])
        if is_balance_due:
            self._balanced_at = now
        return reasons, dropped_names

    def _update_holders(
        self,
        state: ControlState,
        service: str,
        now: float,
        dropped_names: set[str],
    ) -> list[str]:
        reasons = []
        if self._drop_previous_holders(state, service, now, dropped_names):
            reasons.append("cleared")
        if self._replace_unusable_tokens(state, service):
            reasons.append("token")
        return reasons

    def _waits_for_servers(
        self, service: str, servers: dict[str, Server], now: float
    ) -> bool:
        """Return whether the first assignment must wait for servers."""
        waited_s = now - self._reports.since
        if waited_s < _MEMBER_SETTLE_S:
            return True
        known = {
            member.name
            for member in self._roster.live()
            if member.service == service and not member.leaving
        }
        return not known <= set(servers) and waited_s < _MAX_TARGET_WAIT_S

    def _replace_unusable_tokens(
        self, state: ControlState, service: str
    ) -> bool:
        """Replace fencing tokens that can't be granted any more."""
        changed = False
        rows: list[Shard] = []
        for shard in state.shards.get(service, []):
            if self._reports.is_token_unusable(shard):
                shard = shard.subrange(shard.first, shard.last)
                shard.fence = state.allocate_fence()
                changed = True
            rows.append(shard)
        if changed:
            state.shards[service] = rows
        return changed

    def _assign(
        self,
        state: ControlState,
        service: str,
        servers: dict[str, Server],
        awaited_owners: set[tuple[str, int]],
        gone: set[tuple[str, int]],
    ) -> bool:
        """Assign ranges whose owner is neither usable nor awaited."""
        rows = state.shards.get(service, [])
        awaited = [
            shard
            for shard in rows
            if (shard.owner, shard.born) in awaited_owners
        ]
        state.shards[service] = [
            shard
            for shard in rows
            if (shard.owner, shard.born) not in awaited_owners
        ]
        if rows and not state.shards[service]:
            state.shards[service] = rows
            return False
        changed = assign_unowned(
            state, service, servers, self._rates[service], gone=gone
        )
        state.shards[service] = sorted(
            [*state.shards[service], *awaited], key=lambda shard: shard.first
        )
        return changed

    def _servers(self, service: str, now: float) -> dict[str, Server]:
        servers = {}
        reports = self._reports.fresh(now)
        for name, report in reports.items():
            member = self._roster.member(name)
            if member is None or member.service != service:
                continue
            usable = (
                report.born
                and report.takes_work
                and not member.leaving
                and member.data_centre not in self._data_centres_out()
            )
            if usable:
                servers[name] = Server(
                    name=name,
                    born=report.born,
                    capacity=0.0,
                )
        times_s = [
            reports[name].load.service_s
            for name in servers
            if reports[name].load.service_s > 0
        ]
        mean_s = sum(times_s) / len(times_s) if times_s else _UNKNOWN_SERVICE_S
        for name, server in servers.items():
            server.capacity = _capacity(reports[name].load, mean_s)
        return servers

    def _classify_owners(
        self,
        state: ControlState,
        service: str,
        servers: dict[str, Server],
        now: float,
    ) -> tuple[set[tuple[str, int]], set[tuple[str, int]]]:
        """
        Return the awaited owners, and those that hold nothing.

        An awaited owner keeps its ranges for now. Any other owner that
        is not among the servers has to release its ranges first.
        """
        awaited_owners: set[tuple[str, int]] = set()
        gone: set[tuple[str, int]] = set()
        for shard in state.shards.get(service, []):
            owner = (shard.owner, shard.born)
            if not shard.owner or owner in awaited_owners or owner in gone:
                continue
            if shard.owner in servers:
                if servers[shard.owner].born != shard.born:
                    gone.add(owner)
            elif self._reports.is_awaited(shard, now):
                awaited_owners.add(owner)
            elif self._reports.holds_nothing(shard, now):
                gone.add(owner)
        return awaited_owners, gone

    def _drop_previous_holders(
        self,
        state: ControlState,
        service: str,
        now: float,
        dropped_names: set[str],
    ) -> bool:
        """
        Drop earlier holders that have released or lost their ranges.

        :return: whether the change is worth a write of its own.
        """
        changed = False
        revision = state.revision - 1
        rows: list[Shard] = []
        for shard in state.shards.get(service, []):
            if not shard.previous:
                rows.append(shard)
                continue
            if self._reports.is_sole_holder(shard, revision):
                remaining: tuple[tuple[str, int], ...] = ()
            else:
                remaining = tuple(
                    holder
                    for holder in shard.previous
                    if not self._reports.is_lost(holder[0], now)
                )
            if remaining != shard.previous:
                dropped_names |= {name for name, _ in shard.previous}
                shard = shard.subrange(shard.first, shard.last)
                shard.previous = remaining
                # An owner that is the sole holder already does not wait
                # for this change, so it needs no write of its own.
                changed = changed or not self._reports.is_sole_holder(
                    shard, revision
                )
            rows.append(shard)
        if service in state.shards:
            state.shards[service] = rows
        return changed


def _capacity(load: Load, mean_s: float) -> float:
    """
    Return the requests per second that a target can serve.

    :param mean_s: service time if the target has run no request.
    """
    capacity = load.slots / max(load.service_s or mean_s, _MIN_SERVICE_S)
    if load.rate_limit is None:
        return capacity
    return min(capacity, load.rate_limit)
