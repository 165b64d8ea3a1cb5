"""Statements that make changes through the administration API."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.scenario.scenario_error import StatementFailedError
from standins.scenario.statement_definition import define_statement

if TYPE_CHECKING:
    from standins.scenario.run import Run

_TIMEOUT_S = 15.0
_MAX_ATTEMPTS = 20
_RETRY_S = 0.3


async def change(
    run: Run, path: str, fields: dict[str, Any]
) -> dict[str, Any]:
    """
    Send a change to a random daemon and record it if accepted.

    :return: the fields of the answer, with verdict ``unknown`` if
        there was none.
    """
    server = run.rng.choice(run.entry_servers())
    async with run.cluster.operator() as client:
        try:
            reply = await client.post(
                f"{server.admin_url}{path}", json=fields, timeout=_TIMEOUT_S
            )
        except httpx.HTTPError as exc:
            return {"verdict": "unknown", "reason": repr(exc)}
    outcome: dict[str, Any] = reply.json()
    if outcome.get("verdict") == "accepted":
        run.accepted.append(outcome["version"])
    return outcome


async def change_accepted(run: Run, path: str, fields: dict[str, Any]) -> None:
    """
    Send a change until it is accepted.

    :raises StatementFailedError: if no attempt was accepted.
    """
    for _ in range(_MAX_ATTEMPTS):
        outcome = await change(run, path, fields)
        if outcome.get("verdict") == "accepted":
            return
        await anyio.sleep(_RETRY_S)
    raise StatementFailedError(
        f"the change was not accepted; last answer: {outcome}"
    )


@define_statement(r"publish (?P<file>.+)")
async def publish(run: Run, *, file: str) -> None:
    """Publish a configuration; ``again`` means that of the site."""
    text = run.document() if file == "again" else _read(file)
    await change_accepted(
        run, "/v1/config", {"document": text, "author": "scenario"}
    )


def _read(file: str) -> str:
    return Path(file).read_text()


@define_statement(r"data-centre (?P<state>out|in) (?P<name>[\w-]+)")
async def data_centre(run: Run, *, state: str, name: str) -> None:
    """Take a data centre out of service, or put it back."""
    run.record_fault()
    await change_accepted(
        run,
        f"/v1/data-centres/{name}",
        {"out": state == "out", "author": "scenario"},
    )


@define_statement(r"race (?P<count>\d+) operators")
async def race(run: Run, *, count: str) -> None:
    """
    Send conflicting changes concurrently.

    Exactly one must be accepted; none is allowed too if an outcome is
    unknown.
    """
    base_version = run.observer.folds.config.version
    outcomes: list[dict[str, Any]] = []

    async def operate(index: int) -> None:
        fields = {
            "document": f"# operator {index}\n{run.document()}",
            "author": f"operator-{index}",
            "against": base_version,
        }
        outcomes.append(await change(run, "/v1/config", fields))

    async with anyio.create_task_group() as tasks:
        for index in range(int(count)):
            tasks.start_soon(operate, index)
    verdicts = [outcome.get("verdict") for outcome in outcomes]
    run.report(f"          {dict(Counter(verdicts))}")
    min_accepted = 0 if "unknown" in verdicts else 1
    if not min_accepted <= verdicts.count("accepted") <= 1:
        raise StatementFailedError(f"not exactly one operator won: {outcomes}")
