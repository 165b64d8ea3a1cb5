"""Statements that plan, start and stop the site and its servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from standins.cluster import ServerPlan
from standins.scenario.scenario_error import StatementFailedError
from standins.scenario.statement_definition import define_statement

if TYPE_CHECKING:
    from standins.scenario.run import Run

_OWNED_TIMEOUT_S = 20.0
_POLL_S = 0.05
_STOP_TIMEOUT_S = 30.0


@define_statement(
    r"servers (?P<service>[\w-]+) (?P<count>\d+) in "
    r"(?P<places>[\w-]+(?: [\w-]+)*?)( region (?P<region>[\w-]+))?"
    r"( slots (?P<slots>\d+))?( target (?P<options>--.+))?"
)
async def plan_servers(
    run: Run,
    *,
    service: str,
    count: str,
    places: str,
    region: str | None,
    slots: str | None,
    options: str | None,
) -> None:
    """Plan servers, assigned to the data centres in turn."""
    run.service = run.service or service
    data_centres = places.split()
    first = sum(plan.service == service for plan in run.plans)
    for index in range(int(count)):
        run.plans.append(
            ServerPlan(
                name=f"{service}-{first + index + 1}",
                service=service,
                data_centre=data_centres[index % len(data_centres)],
                region=region or "r1",
                slots=int(slots or 6),
                target_args=tuple((options or "").split()),
            )
        )


@define_statement(
    r"add (?P<count>\d+) servers in (?P<places>[\w-]+(?: [\w-]+)*)"
)
async def add_servers(run: Run, *, count: str, places: str) -> None:
    """Start more servers of the first service and await admission."""
    first = len(run.plans)
    await plan_servers(
        run,
        service=run.service,
        count=count,
        places=places,
        region=None,
        slots=None,
        options=None,
    )
    run.record_fault()
    added = [await run.add(plan) for plan in run.plans[first:]]
    await run.cluster.wait_admitted(added)


@define_statement(r"mutant (?P<name>[\w-]+)")
async def set_mutant(run: Run, *, name: str) -> None:
    """Run all daemons with a seeded fault of this name."""
    run.mutant = name


@define_statement(r"slices (?P<count>\d+)")
async def set_slices(run: Run, *, count: str) -> None:
    """Set the number of slices of the keyed service."""
    run.slices = int(count)


@define_statement(r"settings (?P<line>.+)")
async def add_settings(run: Run, *, line: str) -> None:
    """Add a line to the settings of all daemons."""
    run.settings.append(line)


@define_statement(r"start")
async def start_site(run: Run) -> None:
    """Start the site and wait until each unit has a live owner."""
    cluster = await run.open()
    await cluster.start()
    await run.observe()
    await cluster.publish(run.document())
    run.accepted.append(1)
    await wait_owned(run)


async def wait_owned(run: Run) -> None:
    """Wait until each unit of a keyed service has a live owner."""
    if not run.slices:
        return
    with anyio.fail_after(_OWNED_TIMEOUT_S):
        while not run.observer.all_owned():
            await anyio.sleep(_POLL_S)


@define_statement(r"wait (?P<seconds>[\d.]+)s")
async def wait(_run: Run, *, seconds: str) -> None:
    """Wait for a number of seconds."""
    await anyio.sleep(float(seconds))


@define_statement(r"let (?P<name>[\w-]+) be (?P<reference>.+)")
async def let(run: Run, *, name: str, reference: str) -> None:
    """Define an alias for the server a reference resolves to now."""
    run.names[name] = run.server(reference).name
    run.report(f"          {name} is {run.names[name]}")


@define_statement(r"start (?P<references>.+)")
async def start_servers(run: Run, *, references: str) -> None:
    """Start those processes of servers that are not running."""
    run.record_fault()
    for server in run.servers(references):
        for process in (server.daemon, server.target):
            if not process.is_running:
                process.start()


@define_statement(r"wait admitted")
async def wait_admitted(run: Run) -> None:
    """Wait until all daemons that can take requests have a lease."""
    await run.cluster.wait_admitted(run.entry_servers())


@define_statement(r"remember owners")
async def remember_owners(run: Run) -> None:
    """Store the current assignment for a later comparison."""
    run.owners = run.observer.owners()


@define_statement(r"expect at most (?P<count>\d+) units? moved")
async def expect_moved(run: Run, *, count: str) -> None:
    """Check how many units changed owner since ``remember owners``."""
    now = run.observer.owners()
    moved = sum(now[unit] != owner for unit, owner in run.owners.items())
    run.report(f"          {moved} of {len(now)} units moved")
    if moved > int(count):
        raise StatementFailedError(f"{moved} units moved, more than expected")


@define_statement(r"terminate (?P<references>.+)")
async def terminate_servers(run: Run, *, references: str) -> None:
    """Stop daemons gracefully in parallel, then kill their targets."""
    servers = run.servers(references)
    run.record_fault()
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(server.daemon.terminate, _STOP_TIMEOUT_S)
    for server in servers:
        server.target.kill()


@define_statement(r"expect same sessions for (?P<seconds>[\d.]+)s")
async def expect_same_sessions(run: Run, *, seconds: str) -> None:
    """Check that no session begins or ends for some seconds."""
    before = set(run.observer.folds.control.sessions)
    await anyio.sleep(float(seconds))
    now = set(run.observer.folds.control.sessions)
    if before != now:
        raise StatementFailedError(
            f"{len(before - now)} sessions ended, {len(now - before)} began"
        )
