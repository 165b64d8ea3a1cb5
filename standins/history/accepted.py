"""Checks accepted changes against the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def find_lost_changes(
    versions: Iterable[int], audited: Sequence[int], current: int
) -> list[str]:
    """
    Return accepted changes that were lost or recorded wrongly.

    Each accepted version must be at most the version in force, must
    have been returned to one operator, and must appear exactly once in
    the audit trail.

    :param versions: versions that the API returned to operators.
    :param audited: versions of the accepted entries of an audit trail.
    :param current: the version in force.
    :return: one text for each violation.
    """
    acknowledged = list(versions)
    found = [
        f"version {version} was returned to more than one operator"
        for version in sorted(set(acknowledged))
        if acknowledged.count(version) > 1
    ]
    for version in acknowledged:
        if version > current:
            found.append(
                f"version {version} was lost: version {current} is in force"
            )
        if audited.count(version) != 1:
            found.append(
                f"version {version} appears {audited.count(version)} times "
                "in the audit trail instead of once"
            )
    return found
