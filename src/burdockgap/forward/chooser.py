"""Which target a request goes to."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.shards.control_view import ControlView

_CHOICES = 3
"""Targets compared for one request; more would all pick the same
one."""
_FAR_S = 0.008
"""What another data centre costs a small answer: the way and its
price."""
_FAR_LARGE_S = 0.25
"""The same for a large answer, whose bytes are dear between data
centres."""


class Chooser:
    """
    Chooses among the members' targets by what each has told.

    :param roster: the members.
    :param documents: the data centres that are out.
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
        Return the target where an answer is expected first.

        :param tried: names of members that are passed over.
        """
        servers = [
            member
            for member in self._roster.servers(service)
            if member.name not in tried
            and member.data_centre not in self._documents.data_centres_out
            and (not route.regions or member.region in route.regions)
        ]
        if not servers:
            return None
        if route.large:
            own = self._roster.own.data_centre
            near = [item for item in servers if item.data_centre == own]
            far = [item for item in servers if item.data_centre != own]
            servers = [*_some(near), *_some(far)]
        else:
            servers = _some(servers)
        return min(servers, key=lambda member: self._cost_s(member, route))

    def owner(self, service: str, key: int) -> Member | None:
        """Return a key's owner, if it is known and alive."""
        shard = self._view.state.find(service, key)
        if shard is None or not self._roster.is_alive(shard.owner):
            return None
        return self._roster.member(shard.owner)

    def _cost_s(self, member: Member, route: Route) -> float:
        cost_s = self._roster.expected_latency_s(member)
        if route.large:
            cost_s += self._roster.load(member).uplink_s
        if member.data_centre != self._roster.own.data_centre:
            cost_s += _FAR_LARGE_S if route.large else _FAR_S
        return cost_s


def _some(members: list[Member]) -> list[Member]:
    return random.sample(members, min(len(members), _CHOICES))
