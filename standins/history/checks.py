"""The checks, each of which returns the violations it found."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from standins.history.run_record import RunRecord
    from standins.history.told import Told


def one_owner(runs: Iterable[RunRecord]) -> list[str]:
    """
    Check that no two targets hold a key or a unit at once.

    Once a higher epoch has run anywhere no lower one starts, and runs
    on different targets don't overlap.
    """
    by_unit: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
    by_key: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
    for run in runs:
        if run.unit is not None:
            by_unit[(run.service, str(run.unit))].append(run)
            by_key[(run.service, run.key)].append(run)
    found = []
    for group in by_unit.values():
        found += _lower_epochs(sorted(group, key=_start))
        found += _overlaps(sorted(group, key=_start))
    for group in by_key.values():
        found += _overlaps(sorted(group, key=_start))
    return list(dict.fromkeys(found))


def _start(run: RunRecord) -> float:
    return run.started


def _lower_epochs(runs: Sequence[RunRecord]) -> list[str]:
    found = []
    highest: RunRecord | None = None
    for run in runs:
        if highest is not None and run.epoch < highest.epoch:
            found.append(f"lower epoch later: {run} after {highest}")
        if highest is None or run.epoch > highest.epoch:
            highest = run
    return found


def _overlaps(runs: Sequence[RunRecord]) -> list[str]:
    """Compare each run with the latest end on every other target."""
    found = []
    latest: dict[str, RunRecord] = {}
    for run in runs:
        for target, other in latest.items():
            if target != run.target and run.started < other.last_seen:
                found.append(f"two owners at once: {other} and {run}")
        known = latest.get(run.target)
        if known is None or run.last_seen > known.last_seen:
            latest[run.target] = run
    return found


def at_most_once(
    runs: Iterable[RunRecord], answers: Iterable[Told]
) -> list[str]:
    """Check that no non-idempotent request took effect twice."""
    once = {told.request_id for told in answers if not told.idempotent}
    by_id: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        if run.request_id in once and run.may_count:
            by_id[run.request_id].append(run)
    return [
        f"ran {len(group)} times: " + "; ".join(map(str, group))
        for group in by_id.values()
        if len(group) > 1
    ]


def not_run_is_true(
    runs: Iterable[RunRecord], answers: Iterable[Told]
) -> list[str]:
    """Check that what was refused as not run took no effect."""
    effects = {run.request_id: run for run in runs if run.took_effect}
    return [
        f"told not-run, but ran: {effects[told.request_id]}"
        for told in answers
        if told.verdict == "not-run" and told.request_id in effects
    ]


def whole_answers(
    runs: Iterable[RunRecord], answers: Iterable[Told]
) -> list[str]:
    """Check that successes are whole, their own and have run."""
    effects = {run.request_id for run in runs if run.took_effect}
    found = []
    for told in answers:
        if not told.succeeded:
            continue
        if not told.whole or told.echo != told.request_id:
            found.append(
                f"{told.request_id} got an answer to {told.echo!r}, "
                f"whole: {told.whole}"
            )
        if told.request_id not in effects:
            found.append(f"{told.request_id} was told ran, but did not")
    return found
