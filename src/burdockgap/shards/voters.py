"""Majorities of the members that vote for a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockgap.fleet.roster import Roster

_HEARD_WITHIN_S = 1.25
"""Age of a voter's last beacon above which it is not counted on to
vote; slightly more than the interval of beacons."""


def heard_names(roster: Roster) -> set[str]:
    """Return the names of the members that were just heard."""
    return {member.name for member in roster.live(_HEARD_WITHIN_S)}


def hears_majority(roster: Roster, voters: Collection[str]) -> bool:
    """Return whether a majority of the voters was just heard."""
    names = heard_names(roster)
    return sum(name in names for name in voters) > len(voters) // 2
