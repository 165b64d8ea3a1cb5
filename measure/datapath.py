"""Request rate of one daemon and processor time per request."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import anyio
import anyio.to_thread

from measure.recorder import ROOT
from measure.sites import (
    keys_by_owner,
    make_document,
    plan_servers,
    wait_all_owned,
)
from measure.usage import cpu_seconds
from standins.cluster import open_cluster
from standins.cluster.server import HTTP_PORT

if TYPE_CHECKING:
    from measure.recorder import Recorder
    from standins.cluster import Cluster, Server

_DAEMONS = 4
_SLICES = 64
_SLOTS = 64
_KEY_COUNT = 200
_DURATION_S = 4.0
_WARM_UP_S = 2.0
_REPEATS = 3
_CONNECTIONS = (1, 4, 16)
_EXTRA_SETTINGS = """
[coordinator]
balance_every_s = 3600.0
"""
"""Keeps balancing from moving keys while one daemon has all load."""


async def measure_datapath(recorder: Recorder, *, seed: int) -> None:
    """Record local and forwarded requests by connection count."""
    server_plans = plan_servers(_DAEMONS, slots=_SLOTS, service_ms=0.0)
    async with open_cluster(server_plans, extra=_EXTRA_SETTINGS) as cluster:
        await cluster.start()
        await cluster.publish(make_document(_SLICES))
        await wait_all_owned(cluster, _SLICES)
        async with cluster.operator() as client:
            owned = await keys_by_owner(cluster, client, _KEY_COUNT)
        entry, owner = list(cluster.servers.values())[:2]
        for path, keys in (
            ("local", owned[entry.name]),
            ("one-hop", owned[owner.name]),
        ):
            await _generate_load(entry, keys, 16, _WARM_UP_S, seed)
            for connections in _CONNECTIONS:
                for _ in range(_REPEATS):
                    figures = await _measure(
                        cluster, entry, keys, connections, seed
                    )
                    recorder.add(f"path-{path}", **figures)


async def _measure(
    cluster: Cluster,
    entry: Server,
    keys: list[str],
    connections: int,
    seed: int,
) -> dict[str, Any]:
    pids = {
        server.name: server.daemon.pid for server in cluster.servers.values()
    }
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    results = await _generate_load(entry, keys, connections, _DURATION_S, seed)
    cpu_s = {
        name: cpu_seconds(pid) - before[name] for name, pid in pids.items()
    }
    answered = max(results["answered"], 1)
    return {
        "connections": connections,
        "requests_per_s": answered / _DURATION_S,
        "entry_cpu_us": 1e6 * cpu_s[entry.name] / answered,
        "all_cpu_us": 1e6 * sum(cpu_s.values()) / answered,
        "entry_cpu_share": cpu_s[entry.name] / _DURATION_S,
        **results,
    }


async def _generate_load(
    server: Server,
    keys: list[str],
    connections: int,
    seconds: float,
    seed: int,
) -> dict[str, Any]:
    """Run the load generator in its own process."""
    command = [sys.executable, "-m", "measure.generator"]
    command += ["--host", server.ip, "--port", str(HTTP_PORT)]
    command += ["--connections", str(connections)]
    command += ["--seconds", str(seconds), "--seed", str(seed), *keys]
    paths = [str(ROOT / "src"), str(ROOT)]
    completed = await anyio.to_thread.run_sync(
        lambda: subprocess.run(
            command,
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        )
    )
    results: dict[str, Any] = json.loads(completed.stdout)
    return results
