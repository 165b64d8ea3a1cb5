"""Statements that start and stop loads of requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from standins.scenario.load import Load
from standins.scenario.statement_definition import define_statement

if TYPE_CHECKING:
    from standins.history.request_outcome import RequestOutcome
    from standins.scenario.run import Run

_REASON_CHARS = 40
_DRAIN_TIMEOUT_S = 10.0


@define_statement(
    r"load keyed (?P<service>[\w-]+) keys (?P<keys>\d+) rate "
    r"(?P<rate>\d+)( (?P<idempotent>idempotent))?( via (?P<via>.+))?"
)
async def start_load(
    run: Run,
    *,
    service: str,
    keys: str,
    rate: str,
    idempotent: str | None,
    via: str | None,
) -> None:
    """Send requests in the background until ``stop load``."""
    chosen = None if via in (None, "any") else run.server(via or "")
    load = Load(
        service=service,
        keys=[f"pump-{index}" for index in range(int(keys))],
        rate=float(rate),
        idempotent=idempotent is not None,
        entry_servers=run.entry_servers
        if chosen is None
        else lambda: [chosen],
        rng=run.rng,
        label=f"load{len(run.loads) + 1}",
    )
    run.loads.append(load)
    run.tasks.start_soon(load.run)


@define_statement(r"stop load")
async def stop_load(run: Run) -> None:
    """Stop all loads, wait for their outcomes and report the counts."""
    for load in run.loads:
        load.stopping.set()
    with anyio.fail_after(_DRAIN_TIMEOUT_S):
        for load in run.loads:
            await load.ended.wait()
    outcomes = run.answers()
    good = sum(outcome.succeeded for outcome in outcomes)
    run.report(f"          {good} of {len(outcomes)} requests were answered")
    kinds = Counter(
        _kind(outcome) for outcome in outcomes if not outcome.succeeded
    )
    for kind, count in kinds.most_common():
        run.report(f"          {count} {kind}")


def _kind(outcome: RequestOutcome) -> str:
    reason = outcome.detail.partition(": ")[2].partition(":")[0]
    return f"{outcome.verdict or 'no answer'} ({reason[:_REASON_CHARS]})"
