"""The check of accepted changes against the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def accepted_kept(
    versions: Iterable[int], audited: Sequence[int], current: int
) -> list[str]:
    """
    Check that each accepted change is in force or was followed.

    :param versions: versions that operators were told.
    :param audited: versions of the accepted entries of an audit trail.
    :param current: the version in force.
    """
    told = list(versions)
    found = [
        f"version {version} was told to two operators"
        for version in sorted(set(told))
        if told.count(version) > 1
    ]
    for version in told:
        if version > current:
            found.append(f"version {version} is lost, {current} in force")
        if audited.count(version) != 1:
            found.append(
                f"version {version} is {audited.count(version)} times in "
                "the audit trail"
            )
    return found
