"""Executes a scenario."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
import httpx

from standins.scenario.parse import parse
from standins.scenario.run import Run
from standins.scenario.scenario_error import (
    ScenarioError,
    StatementFailedError,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from standins.scenario.statement import Statement

_SEED = 1
_FAILURES = (StatementFailedError, TimeoutError, RuntimeError, httpx.HTTPError)


async def run_scenario(
    path: Path, report: Callable[[str], None], outputs: Path | None = None
) -> Run:
    """
    Run a scenario until its end or its first failed statement.

    :param path: the scenario's file.
    :param report: called with each line of progress.
    :param outputs: folder to which the files of the site are copied.
    :return: the final state of the run.
    :raises ScenarioError: if a line does not parse or its statement
        fails.
    """
    statements = parse(path)
    failure: ScenarioError | None = None
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        run = Run(
            tasks=tasks,
            stack=stack,
            rng=random.Random(_SEED),
            report=report,
            relayed=any(_needs_relay(statement) for statement in statements),
        )
        for statement in statements:
            report(f"{run.elapsed_s():6.1f} s  {statement.text}")
            try:
                await statement.execute(run)
            except _FAILURES as exc:
                failure = ScenarioError(
                    str(path), statement.line, f"{statement.text}: {exc}"
                )
                break
        if outputs is not None:
            run.copy_outputs(outputs)
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return run


def _needs_relay(statement: Statement) -> bool:
    return statement.text.startswith(("cut ", "delay "))
