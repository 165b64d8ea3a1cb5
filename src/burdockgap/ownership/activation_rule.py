"""The rules on which session may activate a unit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.fold.control_state import ControlState
    from burdockgap.lease.certificates import Certificates
    from burdockgap.ownership.pending_unit import PendingUnit


def expected_holder(
    control: ControlState, certificates: Certificates, service: str, unit: int
) -> int:
    """Return a unit's owner, or a stopped owner's successor, or 0."""
    owner = control.tables[service].owner(unit)
    if owner and certificates.is_complete(owner):
        return control.successor(service, unit)
    return owner


def claimable_epoch(
    control: ControlState,
    certificates: Certificates,
    service: str,
    session_id: int,
    unit: int,
) -> int:
    """
    Return the epoch at which a session may hold a unit, or 0.

    The owner may hold it at the epoch of the fold. Once the owner has a
    complete expiry certificate, its successor may hold it at the next
    epoch.
    """
    table = control.tables[service]
    if not table.has_unit(unit):
        return 0
    owner = table.owner(unit)
    if owner == session_id:
        return table.epoch(unit)
    if not owner or not certificates.is_complete(owner):
        return 0
    if control.successor(service, unit) != session_id:
        return 0
    return table.epoch(unit) + 1


def blockers(
    control: ControlState,
    certificates: Certificates,
    service: str,
    session_id: int,
    unit: int,
    pending: PendingUnit,
) -> list[int]:
    """
    Return the sessions that may still hold a unit at a lower epoch.

    :param session_id: the session that is to activate the unit.
    :param pending: the epoch to activate and the releases so far.
    """
    return [
        holder
        for holder in control.tables[service].earlier_holders(unit)
        if holder != session_id
        and control.is_live(holder)
        and not certificates.is_complete(holder)
        and not pending.is_released_by(holder)
    ]
