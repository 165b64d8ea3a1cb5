"""Statements about callers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import anyio

from standins.scenario.load import Load
from standins.scenario.verb import verb

if TYPE_CHECKING:
    from standins.history.told import Told
    from standins.scenario.run import Run

_REASON_CHARS = 40
_DRAIN_TIMEOUT_S = 10.0


@verb(
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
        entries=run.entries if chosen is None else lambda: [chosen],
        rng=run.rng,
        label=f"load{len(run.loads) + 1}",
    )
    run.loads.append(load)
    run.tasks.start_soon(load.run)


@verb(r"stop load")
async def stop_load(run: Run) -> None:
    """Stop all loads and wait for their answers."""
    for load in run.loads:
        load.stopping.set()
    with anyio.fail_after(_DRAIN_TIMEOUT_S):
        for load in run.loads:
            await load.ended.wait()
    told = run.answers()
    good = sum(one.succeeded for one in told)
    run.say(f"          {good} of {len(told)} requests were answered")
    kinds = Counter(_kind(one) for one in told if not one.succeeded)
    for kind, count in kinds.most_common():
        run.say(f"          {count} {kind}")


def _kind(told: Told) -> str:
    reason = told.detail.partition(": ")[2].partition(":")[0]
    return f"{told.verdict or 'no answer'} ({reason[:_REASON_CHARS]})"
