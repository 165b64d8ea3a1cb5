"""The steps of the demo."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread
import httpx
from loguru import logger

from burdockgap.run import main as burdockgap
from demo.demo_error import DemoError
from demo.site import DOCUMENT, plans
from demo.step import reason_of, step
from demo.tally import Tally
from standins.cluster import open_cluster
from standins.cluster.server import TOKEN

if TYPE_CHECKING:
    from standins.cluster import Cluster, Server

_KEYS = 10
_OWNERSHIP_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 20.0
_DEMO_TIMEOUT_S = 50.0
_POLL_S = 0.1
_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.3


async def run_demo() -> int:
    """
    Run the demo; its processes end even if it fails or is cancelled.

    :return: 0 if every step succeeded, else 1.
    """
    logger.remove()
    try:
        async with open_cluster(plans()) as cluster:
            with anyio.fail_after(_DEMO_TIMEOUT_S):
                await _run_steps(cluster)
                await _stop(cluster)
                _check_no_tracebacks(cluster)
    except Exception as exc:
        print(f"demo: failed: {reason_of(exc)}", file=sys.stderr)
        return 1
    print("demo: ok")
    return 0


async def _run_steps(cluster: Cluster) -> None:
    with step("start"):
        await cluster.start()
    with step("publish the configuration"):
        await _publish(cluster)
    with step("give all slices to owners"):
        await _wait_owned(cluster)
    tally = Tally()
    with step("send requests"):
        await _send_all(cluster, tally)
    await _print_owners(cluster)
    _print_statistics(tally)
    _check_no_tracebacks(cluster)
    if tally.failures:
        raise DemoError("; ".join(tally.failures[:3]))


def _check_no_tracebacks(cluster: Cluster) -> None:
    """
    Check that no daemon logged a traceback.

    :raises DemoError: with the text around the first traceback.
    """
    for server in cluster.servers.values():
        text = server.daemon.text()
        if "Traceback" in text:
            start = text.index("Traceback")
            raise DemoError(f"{server.name}: {text[start - 300 :]}")


async def _publish(cluster: Cluster) -> None:
    """Publish the configuration with ``burdockgap config publish``."""
    document = Path(cluster.folder) / "config.toml"
    document.write_text(DOCUMENT)
    admin = next(iter(cluster.servers.values())).admin_url
    args = ["config", "publish", str(document), "--against", "0"]
    args += ["--admin", admin, "--token", TOKEN]
    code = await anyio.to_thread.run_sync(burdockgap, args)
    if code:
        raise DemoError(f"config publish ended with exit code {code}")


async def _wait_owned(cluster: Cluster) -> None:
    """Wait until a daemon reports an owner for each of 64 slices."""
    server = next(iter(cluster.servers.values()))
    with anyio.fail_after(_OWNERSHIP_TIMEOUT_S):
        while True:
            status = await cluster.status(server)
            owned = sum(daemon["units"] for daemon in status["daemons"])
            if owned == 64:
                return
            await anyio.sleep(_POLL_S)


async def _send_all(cluster: Cluster, tally: Tally) -> None:
    async with httpx.AsyncClient(timeout=10.0) as client:
        for server in cluster.servers.values():
            for index in range(_KEYS):
                key = f"pump-{index}"
                await _send(client, server, f"/records/{key}", key, tally)
                await _send(client, server, "/dispatch/visits", "", tally)


async def _send(
    client: httpx.AsyncClient,
    server: Server,
    path: str,
    key: str,
    tally: Tally,
) -> None:
    headers = {"Burdockgap-Key": key} if key else {}
    started = time.monotonic()
    for _ in range(_MAX_ATTEMPTS):
        reply = await client.post(
            server.url + path, headers=headers, content=b"{}"
        )
        if reply.headers.get("burdockgap-verdict") != "not-run":
            break
        # A request that did not run is safe to retry.
        tally.verdicts["not-run, sent again"] += 1
        await anyio.sleep(_RETRY_DELAY_S)
    tally.latencies_s.append(time.monotonic() - started)
    verdict = reply.headers.get("burdockgap-verdict", "none")
    owner = reply.headers.get("burdockgap-owner", "nobody")
    tally.verdicts[verdict] += 1
    tally.paths[(server.name, owner)] += 1
    if not reply.is_success:
        tally.failures.append(
            f"{path} via {server.name}: {reply.status_code} {reply.text!r}"
        )


async def _print_owners(cluster: Cluster) -> None:
    server = next(iter(cluster.servers.values()))
    status = await cluster.status(server)
    print(f"\n{'daemon':<14}{'data centre':<14}{'service':<12}slices")
    for daemon in status["daemons"]:
        print(
            f"{daemon['name']:<14}{daemon['data_centre']:<14}"
            f"{daemon['service']:<12}{daemon['units']}"
        )


def _print_statistics(tally: Tally) -> None:
    print("\nrequests by verdict:", dict(tally.verdicts))
    print(
        f"p50 {tally.percentile_ms(50):.1f} ms, "
        f"p99 {tally.percentile_ms(99):.1f} ms"
    )
    print("\nentry daemon to owner:")
    for (entry, owner), count in sorted(tally.paths.items()):
        print(f"  {entry:<12} -> {owner:<12} {count}")


async def _stop(cluster: Cluster) -> None:
    """Stop the daemons with SIGTERM and check their exit codes."""
    daemons = [server.daemon for server in cluster.servers.values()]
    with step("stop"):
        async with anyio.create_task_group() as tasks:
            for daemon in daemons:
                tasks.start_soon(daemon.terminate, _STOP_TIMEOUT_S)
    for daemon in daemons:
        if daemon.exit_code != 0:
            raise DemoError(
                f"{daemon.name} exited {daemon.exit_code}:\n{daemon.tail()}"
            )
