"""The choice of a request's target."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.shards.control_view import ControlView

_SAMPLE_SIZE = 3
"""Targets compared for one request; with more, all daemons would pick
the same one."""
_REMOTE_COST_S = 0.008
"""Cost of a small response from another data centre: its latency and
the price of the traffic."""
_REMOTE_LARGE_COST_S = 0.25
"""The same for a large response; traffic between data centres is
expensive."""


class Chooser:
    """
    Chooses among the members' targets by the load they report.

    :param roster: the members.
    :param documents: the data centres that are out of service.
    :param view: owners of keys.
    """

    __slots__ = ("_documents", "_roster", "_view")

    def __init__(
        self, *, roster: Roster, documents: Documents, view: ControlView
    ) -> None:
        self._roster = roster
        self._documents = documents
        self._view = view

    def best(
        self, service: str, route: Route, tried: set[str]
    ) -> Member | None:
        """
        Return the member whose target has the lowest expected cost.

        :param tried: names of members to skip.
        """
        servers = self.candidates(service, route, tried)
        if not servers:
            return None
        if route.large:
            own = self._roster.own.data_centre
            local = [item for item in servers if item.data_centre == own]
            remote = [item for item in servers if item.data_centre != own]
            servers = [*_sample(local), *_sample(remote)]
        else:
            servers = _sample(servers)
        return min(servers, key=lambda member: self._cost_s(member, route))

    def candidates(
        self, service: str, route: Route, tried: set[str]
    ) -> list[Member]:
        """
        Return the members whose target may serve a route's requests.

        :param tried: names of members to leave out.
        """
        return [
            member
            for member in self._roster.servers(service)
            if member.name not in tried
            and member.data_centre not in self._documents.data_centres_out
            and (not route.regions or member.region in route.regions)
        ]

    def owner(self, service: str, key: int) -> Member | None:
        """Return the owner of a key, if it is known and alive."""
        shard = self._view.state.find(service, key)
        if shard is None or not self._roster.is_alive(shard.owner):
            return None
        return self._roster.member(shard.owner)

    def _cost_s(self, member: Member, route: Route) -> float:
        cost_s = self._roster.expected_latency_s(member)
        if route.large:
            cost_s += self._roster.load(member).uplink_s
        if member.data_centre != self._roster.own.data_centre:
            cost_s += _REMOTE_LARGE_COST_S if route.large else _REMOTE_COST_S
        return cost_s


def _sample(members: list[Member]) -> list[Member]:
    return random.sample(members, min(len(members), _SAMPLE_SIZE))
