"""Statements that check the state and the history of the site."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.history import checks
from standins.history.accepted import find_lost_changes
from standins.scenario.scenario_error import StatementFailedError
from standins.scenario.statement_definition import define_statement
from standins.target_grants import boottime

if TYPE_CHECKING:
    from standins.cluster import Server
    from standins.scenario.run import Run

_RETRY_S = 0.2
_PROBE_TIMEOUT_S = 1.5
_MAX_SHOWN = 5
_POLL_S = 0.2
_AUDIT_LIMIT = 1000


def _require_none(violations: list[str]) -> None:
    if violations:
        shown = "\n  ".join(violations[:_MAX_SHOWN])
        raise StatementFailedError(f"{len(violations)} violations:\n  {shown}")


@define_statement(
    r"expect served (?P<key>[\w-]+)( via (?P<via>.+?))? "
    r"within (?P<seconds>[\d.]+)s"
)
async def expect_served(
    run: Run, *, key: str, via: str | None, seconds: str
) -> None:
    """Check that a key is served within a time after the last fault."""
    entry_servers = [run.server(via)] if via else run.connected()
    await _served(run, [key], float(seconds), entry_servers)


@define_statement(r"expect all served within (?P<seconds>[\d.]+)s")
async def expect_all_served(run: Run, *, seconds: str) -> None:
    """Check that all keys are served in time after the last fault."""
    keys = list(run.load.keys)
    await _served(run, keys, float(seconds), run.connected())


async def _served(
    run: Run, keys: list[str], seconds: float, entry_servers: list[Server]
) -> None:
    served: dict[str, float] = {}
    refusals: dict[str, str] = {}
    limit_s = run.fault_at + seconds - boottime()

    async def probe(key: str) -> None:
        while key not in served:
            outcome = await run.load.send(
                key,
                True,
                entry_servers=entry_servers,
                timeout_s=_PROBE_TIMEOUT_S,
            )
            if outcome.succeeded:
                served[key] = outcome.answered - run.fault_at
                return
            refusals[key] = outcome.detail
            await anyio.sleep(_RETRY_S)

    with anyio.move_on_after(max(limit_s, 0)):
        async with anyio.create_task_group() as tasks:
            for key in keys:
                tasks.start_soon(probe, key)
    missing = [
        f"{key}: {refusals.get(key, 'no answer')}"
        for key in keys
        if key not in served
    ]
    _require_none(missing)
    run.served_after = served
    last = max(served, key=lambda key: served[key])
    why = refusals.get(last, "")
    run.report(
        f"          {last} was served last, {served[last]:.2f} s after {why}"
    )


@define_statement(r"expect one owner")
async def expect_one_owner(run: Run) -> None:
    """Check that no unit had two owners at any moment."""
    _require_none(checks.find_ownership_conflicts(run.runs()))


@define_statement(r"expect at most once")
async def expect_at_most_once(run: Run) -> None:
    """Check that no non-idempotent request ran more than once."""
    _require_none(checks.find_duplicate_runs(run.runs(), run.answers()))


@define_statement(r"expect not-run is true")
async def expect_not_run(run: Run) -> None:
    """Check that no request with verdict not-run took effect."""
    _require_none(checks.find_false_not_run(run.runs(), run.answers()))


@define_statement(r"expect truth")
async def expect_truth(run: Run) -> None:
    """Check the history for violations of any kind."""
    runs, answers = run.runs(), run.answers()
    _require_none(
        checks.find_ownership_conflicts(runs)
        + checks.find_duplicate_runs(runs, answers)
        + checks.find_false_not_run(runs, answers)
        + checks.find_bad_answers(runs, answers)
    )


@define_statement(r"expect share (?P<percent>\d+)% answered")
async def expect_share(run: Run, *, percent: str) -> None:
    """Check the share of requests that were answered."""
    outcomes = run.answers()
    good = sum(outcome.succeeded for outcome in outcomes)
    if 100 * good < int(percent) * len(outcomes):
        raise StatementFailedError(
            f"{good} of {len(outcomes)} requests were answered"
        )


@define_statement(r"expect whole answers")
async def expect_whole(run: Run) -> None:
    """Check that each answer is complete and to the right request."""
    _require_none(checks.find_bad_answers(run.runs(), run.answers()))


@define_statement(r"expect exit (?P<code>\d+) (?P<references>.+)")
async def expect_exit(run: Run, *, code: str, references: str) -> None:
    """Check the exit codes of daemons."""
    for server in run.servers(references):
        daemon = server.daemon
        if daemon.exit_code != int(code):
            raise StatementFailedError(
                f"daemon's exit code is {daemon.exit_code}:\n{daemon.tail()}"
            )


@define_statement(r"expect equal folds within (?P<seconds>[\d.]+)s")
async def expect_equal_folds(run: Run, *, seconds: str) -> None:
    """Check that all running daemons reach the same folded state."""
    views: dict[str, str] = {}
    with anyio.move_on_after(float(seconds)):
        while True:
            views = await _views(run)
            if len(set(views.values())) == 1:
                return
            await anyio.sleep(_POLL_S)
    raise StatementFailedError(
        f"the folded states of the daemons differ: {views}"
    )


async def _views(run: Run) -> dict[str, str]:
    views = {}
    async with run.cluster.operator() as client:
        for server in run.entry_servers():
            try:
                views[server.name] = await _view(client, server.admin_url)
            except httpx.HTTPError as exc:
                views[server.name] = f"{server.name}: {exc!r}"
    return views


async def _view(client: httpx.AsyncClient, url: str) -> str:
    status = (await client.get(f"{url}/v1/status")).json()
    config = (await client.get(f"{url}/v1/config")).json()
    audit = (await client.get(f"{url}/v1/audit")).json()
    shared = [
        status[name]
        for name in (
            "config_version",
            "config_offset",
            "control_offset",
            "term",
            "coordinator",
            "daemons",
        )
    ]
    return json.dumps([shared, config, audit], sort_keys=True)


@define_statement(r"expect accepted changes kept")
async def expect_accepted_kept(run: Run) -> None:
    """Check that each daemon has each accepted change exactly once."""
    async with run.cluster.operator() as client:
        for server in run.entry_servers():
            status = await run.cluster.status(server)
            reply = await client.get(
                f"{server.admin_url}/v1/audit", params={"limit": _AUDIT_LIMIT}
            )
            audited = _accepted_versions(reply.json()["items"])
            _require_none(
                find_lost_changes(
                    run.accepted, audited, status["config_version"]
                )
            )


def _accepted_versions(audit_entries: list[dict[str, Any]]) -> list[int]:
    return [
        entry["against"] + 1
        for entry in audit_entries
        if entry["accepted"] and entry["stream"] == "config"
    ]


@define_statement(
    r"expect no new work at (?P<place>[\w-]+)"
    r" after (?P<seconds>[\d.]+)s"
)
async def expect_no_new_work(run: Run, *, place: str, seconds: str) -> None:
    """Check that no run starts in a place some time after a fault."""
    limit = run.fault_at + float(seconds)
    inside = {
        server.name
        for server in run.cluster.servers.values()
        if server.plan.data_centre == place or server.name == place
    }
    if not inside:
        raise StatementFailedError(f"no server is in {place!r}")
    late = [
        str(record)
        for record in run.runs()
        if record.target in inside and record.started > limit
    ]
    _require_none(late)
