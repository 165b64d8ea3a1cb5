"""Statements that plan and start the site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from standins.cluster import ServerPlan
from standins.scenario.verb import verb

if TYPE_CHECKING:
    from standins.scenario.run import Run

_OWNED_TIMEOUT_S = 20.0
_POLL_S = 0.05
_STARTED = 10.0


@verb(
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
    """Plan servers, dealt out over data centres."""
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


@verb(r"slices (?P<count>\d+)")
async def set_slices(run: Run, *, count: str) -> None:
    """Set the number of slices of the keyed service."""
    run.slices = int(count)


@verb(r"settings (?P<line>.+)")
async def add_settings(run: Run, *, line: str) -> None:
    """Add a line to every daemon's settings."""
    run.settings.append(line)


@verb(r"start")
async def start_site(run: Run) -> None:
    """Start everything and wait until each unit is served."""
    cluster = await run.open()
    await cluster.start()
    await run.observe()
    await cluster.publish(run.document())
    run.accepted.append(1)
    await wait_owned(run)


async def wait_owned(run: Run) -> None:
    """Wait until each unit of the keyed service has a live owner."""
    with anyio.fail_after(_OWNED_TIMEOUT_S):
        while not run.observer.all_owned():
            await anyio.sleep(_POLL_S)


@verb(r"wait (?P<seconds>[\d.]+)s")
async def wait(_run: Run, *, seconds: str) -> None:
    """Let time pass."""
    await anyio.sleep(float(seconds))


@verb(r"let (?P<name>[\w-]+) be (?P<reference>.+)")
async def let(run: Run, *, name: str, reference: str) -> None:
    """Give a name to what a reference means now."""
    run.names[name] = run.server(reference).name
    run.say(f"          {name} is {run.names[name]}")


@verb(r"start (?P<reference>.+)")
async def start_server(run: Run, *, reference: str) -> None:
    """Start a server's processes again, those that don't run."""
    server = run.server(reference)
    for process in (server.daemon, server.target):
        if not process.is_running:
            process.start()


@verb(r"terminate (?P<reference>.+)")
async def terminate_server(run: Run, *, reference: str) -> None:
    """Stop a server's daemon gracefully, then its target."""
    server = run.server(reference)
    run.fault()
    await server.daemon.terminate(_STARTED * 2)
    server.target.kill()
