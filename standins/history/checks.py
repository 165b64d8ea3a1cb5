"""Checks of a history; each returns the violations it found."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from standins.history.request_outcome import RequestOutcome
    from standins.history.run_record import RunRecord


def find_ownership_conflicts(runs: Iterable[RunRecord]) -> list[str]:
    """
    Return runs that show two owners of a key or unit at once.

    After a run with a higher epoch started on any target, no run of the
    same unit with a lower epoch may start, and runs of the same unit or
    key on different targets must not overlap.
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
    """Compare each run with the latest end on each other target."""
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


def find_duplicate_runs(
    runs: Iterable[RunRecord], answers: Iterable[RequestOutcome]
) -> list[str]:
    """Return non-idempotent requests that ran more than once."""
    once = {
        outcome.request_id for outcome in answers if not outcome.idempotent
    }
    by_id: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        if run.request_id in once and run.may_have_taken_effect:
            by_id[run.request_id].append(run)
    return [
        f"ran {len(group)} times: " + "; ".join(map(str, group))
        for group in by_id.values()
        if len(group) > 1
    ]


def find_false_not_run(
    runs: Iterable[RunRecord], answers: Iterable[RequestOutcome]
) -> list[str]:
    """Return requests with verdict not-run that took effect."""
    effects = {run.request_id: run for run in runs if run.took_effect}
    return [
        f"verdict not-run, but took effect: {effects[outcome.request_id]}"
        for outcome in answers
        if outcome.verdict == "not-run" and outcome.request_id in effects
    ]


def find_bad_answers(
    runs: Iterable[RunRecord], answers: Iterable[RequestOutcome]
) -> list[str]:
    """
    Return successful answers that are wrong.

    The answer to a request must be complete, must echo the id of this
    request, and the request must have taken effect.
    """
    effects = {run.request_id for run in runs if run.took_effect}
    found = []
    for outcome in answers:
        if not outcome.succeeded:
            continue
        if not outcome.whole or outcome.echo != outcome.request_id:
            found.append(
                f"{outcome.request_id} got the answer to {outcome.echo!r}, "
                f"complete: {outcome.whole}"
            )
        if outcome.request_id not in effects:
            found.append(
                f"{outcome.request_id} got verdict ran, but took no effect"
            )
    return found
