"""Statements about what must hold."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.history import checks
from standins.history.accepted import accepted_kept
from standins.scenario.scenario_error import UnmetError
from standins.scenario.verb import verb
from standins.target_grants import boottime

if TYPE_CHECKING:
    from standins.cluster import Server
    from standins.scenario.run import Run

_RETRY_S = 0.2
_PROBE_TIMEOUT_S = 1.5
_SHOWN = 5
_POLL_S = 0.2
_AUDIT_LIMIT = 1000


def _require_none(violations: list[str]) -> None:
    if violations:
        shown = "\n  ".join(violations[:_SHOWN])
        raise UnmetError(f"{len(violations)} violations:\n  {shown}")


@verb(
    r"expect served (?P<key>[\w-]+)( via (?P<via>.+?))? "
    r"within (?P<seconds>[\d.]+)s"
)
async def expect_served(
    run: Run, *, key: str, via: str | None, seconds: str
) -> None:
    """Check that a key is served soon after the last fault."""
    entries = [run.server(via)] if via else run.connected()
    await _served(run, [key], float(seconds), entries)


@verb(r"expect all served within (?P<seconds>[\d.]+)s")
async def expect_all_served(run: Run, *, seconds: str) -> None:
    """Check that all keys are served soon after the last fault."""
    keys = list(run.load.keys)
    await _served(run, keys, float(seconds), run.connected())


async def _served(
    run: Run, keys: list[str], seconds: float, entries: list[Server]
) -> None:
    served: dict[str, float] = {}
    refusals: dict[str, str] = {}
    limit_s = run.fault_at + seconds - boottime()

    async def probe(key: str) -> None:
        while key not in served:
            told = await run.load.send(
                key, True, entries=entries, timeout_s=_PROBE_TIMEOUT_S
            )
            if told.succeeded:
                served[key] = told.answered - run.fault_at
                return
            refusals[key] = told.detail
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
    run.say(f"          {last} came last, {served[last]:.2f} s after {why}")


@verb(r"expect one owner")
async def expect_one_owner(run: Run) -> None:
    """Check that no unit had two owners at any moment."""
    _require_none(checks.one_owner(run.runs()))


@verb(r"expect at most once")
async def expect_at_most_once(run: Run) -> None:
    """Check that no non-idempotent request ran twice."""
    _require_none(checks.at_most_once(run.runs(), run.answers()))


@verb(r"expect not-run is true")
async def expect_not_run(run: Run) -> None:
    """Check that nothing ran that was refused as not run."""
    _require_none(checks.not_run_is_true(run.runs(), run.answers()))


@verb(r"expect truth")
async def expect_truth(run: Run) -> None:
    """Check the whole history at once."""
    runs, answers = run.runs(), run.answers()
    _require_none(
        checks.one_owner(runs)
        + checks.at_most_once(runs, answers)
        + checks.not_run_is_true(runs, answers)
        + checks.whole_answers(runs, answers)
    )


@verb(r"expect share (?P<percent>\d+)% answered")
async def expect_share(run: Run, *, percent: str) -> None:
    """Check how many of the load's requests were answered."""
    told = run.answers()
    good = sum(one.succeeded for one in told)
    if 100 * good < int(percent) * len(told):
        raise UnmetError(f"{good} of {len(told)} requests were answered")


@verb(r"expect whole answers")
async def expect_whole(run: Run) -> None:
    """Check that each answer is whole and the caller's own."""
    _require_none(checks.whole_answers(run.runs(), run.answers()))


@verb(r"expect exit (?P<code>\d+) (?P<references>.+)")
async def expect_exit(run: Run, *, code: str, references: str) -> None:
    """Check how daemons ended."""
    for server in run.servers(references):
        daemon = server.daemon
        if daemon.exit_code != int(code):
            raise UnmetError(f"exit code {daemon.exit_code}:\n{daemon.tail()}")


@verb(r"expect equal folds within (?P<seconds>[\d.]+)s")
async def expect_equal_folds(run: Run, *, seconds: str) -> None:
    """Check that all daemons that run come to the same state."""
    views: dict[str, str] = {}
    with anyio.move_on_after(float(seconds)):
        while True:
            views = await _views(run)
            if len(set(views.values())) == 1:
                return
            await anyio.sleep(_POLL_S)
    raise UnmetError(f"the folds differ: {views}")


async def _views(run: Run) -> dict[str, str]:
    views = {}
    async with run.cluster.operator() as client:
        for server in run.entries():
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


@verb(r"expect accepted changes kept")
async def expect_accepted_kept(run: Run) -> None:
    """Check that each accepted change is recorded everywhere once."""
    async with run.cluster.operator() as client:
        for server in run.entries():
            status = await run.cluster.status(server)
            reply = await client.get(
                f"{server.admin_url}/v1/audit", params={"limit": _AUDIT_LIMIT}
            )
            audited = _accepted_versions(reply.json()["items"])
            _require_none(
                accepted_kept(run.accepted, audited, status["config_version"])
            )


def _accepted_versions(entries: list[dict[str, Any]]) -> list[int]:
    return [
        entry["against"] + 1
        for entry in entries
        if entry["accepted"] and entry["stream"] == "config"
    ]


@verb(
    r"expect no new work at (?P<place>[\w-]+)"
    r" after (?P<seconds>[\d.]+)s"
)
async def expect_no_new_work(run: Run, *, place: str, seconds: str) -> None:
    """Check that a data centre got no work some time after a change."""
    limit = run.fault_at + float(seconds)
    inside = {
        server.name
        for server in run.cluster.servers.values()
        if server.plan.data_centre == place or server.name == place
    }
    if not inside:
        raise UnmetError(f"no server is in {place!r}")
    late = [
        str(one)
        for one in run.runs()
        if one.target in inside and one.started > limit
    ]
    _require_none(late)
