"""
How many members a machine can serve as coordinator.

Addresses sites whose machines differ: the coordinator answers several
reports a second of each member and sends each the changes of the
assignment. A machine without room for that extends leases too late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.fleet.member import Member

_CORES_PER_MEMBER = 0.002
_LINK_BYTES_PER_S_PER_MEMBER = 7000.0
"""While ranges move in each balancing run."""
_WORTHWHILE_FACTOR = 2
"""Each change of the coordinator delays the moves of ranges."""


def coordinator_capacity(cores: float, link_bytes_per_s: float) -> int:
    """
    Return how many members a machine can serve as coordinator.

    :param cores: processor time of the machine, in seconds per second.
    :param link_bytes_per_s: rate of its network link.
    """
    return int(
        min(
            cores / _CORES_PER_MEMBER,
            link_bytes_per_s / _LINK_BYTES_PER_S_PER_MEMBER,
        )
    )


def outranks(own: Member, coordinator: Member, member_count: int) -> bool:
    """
    Return whether a member should take the role from a coordinator.

    It should if the coordinator's machine is too small for the site and
    its own is clearly larger.

    :param own: the member.
    :param member_count: number of live members.
    """
    is_too_small = 0 < coordinator.capacity < member_count
    least = coordinator.capacity * _WORTHWHILE_FACTOR
    return is_too_small and own.capacity >= least and not own.leaving
