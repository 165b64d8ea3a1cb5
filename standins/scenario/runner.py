"""Carries a scenario out."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio

from standins.scenario.parse import parse
from standins.scenario.run import Run
from standins.scenario.scenario_error import ScenarioError, UnmetError

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

_SEED = 1


async def run_scenario(path: Path, say: Callable[[str], None]) -> None:
    """
    Run a scenario to its end.

    :param path: the scenario's file.
    :param say: takes a line of progress.
    :raises ScenarioError: with the line that failed.
    """
    statements = parse(path)
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        run = Run(tasks=tasks, stack=stack, rng=random.Random(_SEED), say=say)
        for statement in statements:
            say(f"{run.elapsed_s():6.1f} s  {statement.text}")
            try:
                await statement.do(run)
            except (UnmetError, TimeoutError, RuntimeError) as exc:
                tasks.cancel_scope.cancel()
                raise ScenarioError(
                    str(path), statement.line, f"{statement.text}: {exc!r}"
                ) from exc
        tasks.cancel_scope.cancel()
