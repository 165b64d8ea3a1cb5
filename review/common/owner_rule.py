"""The check of the rule OWNER."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from review.common.site import Site

_THAW_SLACK_S = 0.3
_MAX_OVERLAP_S = 0.5


def find_double_holds(
    site: Site, *, healed: list[float], since_s: float = 0.0
) -> list[str]:
    """
    Return the pairs of servers that held the same keys at once.

    :param healed: when links were healed; grants within the thaw slack
        after it are left out.
    :param since_s: only what is held after this time counts.
    """
    found = []
    keyed = [item.server for item in site.machines if item.server.keyed]
    for one, other in itertools.combinations(keyed, 2):
        for mine, theirs in itertools.product(one.holds, other.holds):
            first = max(mine.first, theirs.first)
            last = min(mine.last, theirs.last)
            since = max(mine.since, theirs.since, since_s)
            until = min(mine.until, theirs.until)
            if first > last or since >= until:
                continue
            began = max(mine.since, theirs.since)
            if any(0 <= began - at < _THAW_SLACK_S for at in healed):
                continue
            begun = [
                sum(
                    run.key is not None
                    and first <= run.key <= last
                    and since <= run.at < until
                    for run in server.runs
                )
                for server in (one, other)
            ]
            if all(begun) or until - since > _MAX_OVERLAP_S:
                found.append(
                    f"{one.name} (fence {mine.fence}) and {other.name} "
                    f"(fence {theirs.fence}) both hold {first}-{last} for "
                    f"{until - since:.3f} s and begin {begun[0]} and "
                    f"{begun[1]} requests on these keys meanwhile"
                )
    return found
