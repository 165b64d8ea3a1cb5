"""Statements about unkeyed services, faulty targets and exports."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.history import checks
from standins.scenario.scenario_error import StatementFailedError
from standins.scenario.statement_definition import define_statement

if TYPE_CHECKING:
    from standins.cluster import Server
    from standins.scenario.run import Run

_EXPORT_CHUNKS = 40
_EXPORT_PART_BYTES = 20_000
_EXPORT_DELAY_MS = 100
_EXPORT_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_POLL_S = 0.05


@define_statement(r"unkeyed")
async def set_unkeyed(run: Run) -> None:
    """Make the first service unkeyed."""
    run.slices = 0


@define_statement(r"profile (?P<line>.+)")
async def add_profile_line(run: Run, *, line: str) -> None:
    """Add a line to the profile of the service."""
    run.profile.append(line)


@define_statement(
    r"target (?P<reference>.+) (?P<fault>slow|shed|lie_load|truncate|cold) "
    r"(?P<value>[\d.]+)"
)
async def set_target_fault(
    run: Run, *, reference: str, fault: str, value: str
) -> None:
    """Inject a fault into targets."""
    run.record_fault()
    number = float(value) if fault in ("slow", "shed") else int(value)
    for server in run.servers(reference):
        url = f"{server.target_url}/_burdockgap/fault"
        async with httpx.AsyncClient() as client:
            (await client.post(url, json={fault: number})).raise_for_status()


@define_statement(r"stop target (?P<reference>.+)")
async def terminate_target(run: Run, *, reference: str) -> None:
    """Stop a target gracefully and check that its exit code is 0."""
    server = run.server(reference)
    run.record_fault()
    code = await server.target.terminate(_STOP_TIMEOUT_S)
    if code != 0:
        raise StatementFailedError(
            f"target ended with exit code {code}:\n{server.target.tail()}"
        )


@define_statement(r"restart targets that end")
async def restart_targets(run: Run) -> None:
    """Restart each target that ends, until the scenario ends."""
    run.tasks.start_soon(_restart_targets, run)


async def _restart_targets(run: Run) -> None:
    while True:
        for server in run.cluster.servers.values():
            if not server.target.is_running:
                run.crashes += 1
                server.target.start()
        await anyio.sleep(_POLL_S)


@define_statement(r"crash (?P<count>\d+) times")
async def send_crashing(run: Run, *, count: str) -> None:
    """Send a number of requests that crash the target they run on."""
    run.record_fault()
    headers = {"Burdockgap-Idempotent": "true"}
    async with httpx.AsyncClient(timeout=6.0) as client:
        for _ in range(int(count)):
            server = run.rng.choice(run.entry_servers())
            url = f"{server.url}/{run.service}/crash"
            reply = await client.post(url, headers=headers, content=b"kill")
            run.report(f"          {reply.status_code} {reply.text.strip()}")
            await anyio.sleep(0.5)


@define_statement(r"expect crashes at most (?P<count>\d+)")
async def expect_crashes(run: Run, *, count: str) -> None:
    """Check that targets were restarted, but not too often."""
    run.report(f"          {run.crashes} targets crashed")
    if run.crashes > int(count) or run.crashes == 0:
        raise StatementFailedError(f"{run.crashes} targets crashed")


@define_statement(r"export via (?P<reference>.+)")
async def start_export(run: Run, *, reference: str) -> None:
    """Request an export, a long answer, in the background."""
    run.tasks.start_soon(_export, run, run.server(reference))


async def _export(run: Run, server: Server) -> None:
    query = (
        f"chunks={_EXPORT_CHUNKS}&size={_EXPORT_PART_BYTES}"
        f"&delay_ms={_EXPORT_DELAY_MS}"
    )
    url = f"{server.url}/{run.service}/export?{query}"
    async with httpx.AsyncClient(timeout=_EXPORT_TIMEOUT_S) as client:
        try:
            reply = await client.get(url)
        except httpx.HTTPError as exc:
            run.exports.append(repr(exc))
            return
    whole = len(reply.content) == _EXPORT_CHUNKS * _EXPORT_PART_BYTES
    run.exports.append("whole" if whole else f"{reply.status_code}")


@define_statement(
    r"expect (?P<count>\d+) whole exports within (?P<seconds>[\d.]+)s"
)
async def expect_exports(run: Run, *, count: str, seconds: str) -> None:
    """Check the number of exports and that each was complete."""
    with anyio.move_on_after(float(seconds)):
        while len(run.exports) < int(count):
            await anyio.sleep(_POLL_S)
    if run.exports != ["whole"] * int(count):
        raise StatementFailedError(
            f"the results of the exports were {run.exports}"
        )


@define_statement(r"storm (?P<count>\d+) requests (?P<copies>\d+) copies")
async def send_storm(run: Run, *, count: str, copies: str) -> None:
    """Send copies of each request through random daemons at once."""
    async with (
        httpx.AsyncClient(timeout=6.0) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(int(count)):
            for _ in range(int(copies)):
                server = run.rng.choice(run.entry_servers())
                tasks.start_soon(_post, client, run, server, number)
            await anyio.sleep(_POLL_S)


async def _post(
    client: httpx.AsyncClient, run: Run, server: Server, number: int
) -> None:
    headers = {
        "Burdockgap-Key": f"pump-{number}",
        "Burdockgap-Request-Id": f"storm-{number}",
        "Burdockgap-Idempotent": "false",
    }
    try:
        await client.post(
            f"{server.url}/{run.service}", headers=headers, content=b"x"
        )
    except httpx.HTTPError:
        return


@define_statement(r"expect storm ran at most once")
async def expect_storm(run: Run) -> None:
    """Check that each request of a storm ran at most once."""
    seen: dict[str, int] = {}
    for record in run.runs():
        if record.request_id.startswith("storm-"):
            seen[record.request_id] = seen.get(record.request_id, 0) + 1
    twice = [name for name, count in seen.items() if count > 1]
    run.report(f"          {len(seen)} requests of the storm ran")
    if twice or not seen:
        raise StatementFailedError(f"{len(seen)} ran, more than once: {twice}")


@define_statement(
    r"expect overloaded at most (?P<count>\d+) at (?P<reference>.+)"
)
async def expect_overloaded(run: Run, *, count: str, reference: str) -> None:
    """Check how many runs exceeded the capacity of a target."""
    server = run.server(reference)
    url = f"{server.target_url}/_burdockgap/history"
    async with httpx.AsyncClient() as client:
        found: dict[str, Any] = (await client.get(url)).json()
    seen = f"{found['overloaded']} of {len(found['runs'])} runs"
    run.report(f"          {seen} exceeded the capacity")
    if found["overloaded"] > int(count) or not found["runs"]:
        raise StatementFailedError(
            f"{seen} exceeded the capacity of {server.name}"
        )


@define_statement(r"expect refused at most (?P<percent>\d+) percent")
async def expect_refused(run: Run, *, percent: str) -> None:
    """Check the share of requests without a successful answer."""
    outcomes = run.answers()
    refused = [outcome for outcome in outcomes if not outcome.succeeded]
    if len(refused) * 100 > int(percent) * len(outcomes):
        details = {outcome.detail for outcome in refused}
        raise StatementFailedError(
            f"{len(refused)} of {len(outcomes)} failed: {sorted(details)[:5]}"
        )


@define_statement(r"expect traffic truth")
async def expect_traffic_truth(run: Run) -> None:
    """Check the history except for ownership of keys and units."""
    runs, outcomes = run.runs(), run.answers()
    for check in (
        partial(checks.find_duplicate_runs, runs, outcomes),
        partial(checks.find_false_not_run, runs, outcomes),
        partial(checks.find_bad_answers, runs, outcomes),
    ):
        found = list(check())
        if found:
            raise StatementFailedError("; ".join(found[:5]))
