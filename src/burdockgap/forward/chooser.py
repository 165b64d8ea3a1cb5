"""The choice of a request's target."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from burdockgap.hop.long_messages import MAX_SHORT_BYTES
from burdockgap.scheduling import placement

if TYPE_CHECKING:
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.scheduling.candidate import Candidate
    from burdockgap.shards.control_view import ControlView

_SAMPLE_SIZE = 20
"""Targets that are compared for a first attempt. A comparison of 40
took 0.6 ms, and one of 195 took 2.3 ms. With 12, the least of 40
shares over 60 s was 0.77, with 20 it was 0.87."""
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
    :param rng: source of random numbers.
    """

    __slots__ = ("_documents", "_rng", "_roster", "_view")

    def __init__(
        self,
        *,
        roster: Roster,
        documents: Documents,
        view: ControlView,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._roster = roster
        self._documents = documents
        self._view = view

    def best(
        self,
        service: str,
        route: Route,
        tried: set[str],
        body_bytes: int = 0,
    ) -> Member | None:
        """
        Return the member whose target has the lowest expected cost.

        :param tried: names of members to skip.
        :param body_bytes: size of the request's body.
        """
        servers = {
            member.name: member
            for member in self.candidates(service, route, tried)
        }
        members = list(servers.values())
        if not tried and len(members) > _SAMPLE_SIZE:
            members = self._rng.sample(members, _SAMPLE_SIZE)
        choice = placement.choose(
            [self._candidate(member, route, body_bytes) for member in members],
            self._rng,
            retry=bool(tried),
        )
        return servers[choice.name] if choice is not None else None

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

    def _candidate(
        self, member: Member, route: Route, body_bytes: int
    ) -> Candidate:
        candidate = self._roster.candidate(member)
        is_own = member.name == self._roster.own.name
        if body_bytes > MAX_SHORT_BYTES and not is_own:
            candidate.downlink_s = self._roster.load(member).downlink_s
        if route.large:
            candidate.uplink_s = self._roster.load(member).uplink_s
        if member.data_centre != self._roster.own.data_centre:
            candidate.distance_s = (
                _REMOTE_LARGE_COST_S if route.large else _REMOTE_COST_S
            )
        return candidate
