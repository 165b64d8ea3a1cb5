"""What control costs, with real daemons in growing numbers."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import anyio

from measure.sites import (
    SERVICE,
    ask,
    coordinator,
    document,
    keys_by_owner,
    plans,
    wait_owned,
)
from measure.window import Window
from standins.cluster import open_cluster

if TYPE_CHECKING:
    import httpx

    from measure.recorder import Recorder
    from standins.cluster import Cluster, Server

_SETTLE_S = 4.0
_SETTLE_BEFORE_LOSS_S = 8.0
_REST_S = 10.0
_REST_REPEATS = 2
_LOSS_S = 8.0
_RESTART_S = 12.0
_RESTART_SHARE = 0.25
_CHANGES = 20
_CHANGE_EVERY_S = 0.5
_TIMED_CHANGES = 5
_HOT_KEYS = 4
_HOT_S = 60.0
_HOT_POLL_S = 0.5
_KEYS = 64
_SERVED_TIMEOUT_S = 15.0
_ASK_TIMEOUT_S = 0.25
_POLL_S = 0.02
_STOP_TIMEOUT_S = 60.0


class ControlRun:
    """
    The steps on one site.

    :param cluster: the running site.
    :param client: an operator's client.
    :param recorder: takes the results.
    :param slices: slices of the one service.
    :param rng: chooses whom to end.
    """

    __slots__ = ("_client", "_cluster", "_recorder", "_rng", "_sizes")

    def __init__(
        self,
        *,
        cluster: Cluster,
        client: httpx.AsyncClient,
        recorder: Recorder,
        slices: int,
        rng: random.Random,
    ) -> None:
        self._cluster = cluster
        self._client = client
        self._recorder = recorder
        self._rng = rng
        self._sizes = {"daemons": len(cluster.servers), "slices": slices}

    async def rest(self) -> None:
        """Measure the site while nothing happens."""
        for _ in range(_REST_REPEATS):
            window = await self._begin()
            await anyio.sleep(_REST_S)
            self._add("rest", await window.end())

    async def hot_keys(self) -> None:
        """Measure the time until hot keys are pinned."""
        keys = [f"hot-{index}" for index in range(_HOT_KEYS)]
        window = await self._begin()
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for key in keys:
                tasks.start_soon(self._ask_on, key)
            with anyio.move_on_after(_HOT_S):
                while await self._pins(keys) < _HOT_KEYS:
                    await anyio.sleep(_HOT_POLL_S)
            pinned_s = time.monotonic() - started
            tasks.cancel_scope.cancel()
        figures = {**await window.end(), "pins": await self._pins(keys)}
        self._add("hot", {**figures, "pinned_s": pinned_s})

    async def _ask_on(self, key: str) -> None:
        servers = list(self._cluster.servers.values())
        while True:
            await ask(self._client, self._rng.choice(servers), key, 2.0)

    async def changes(self) -> None:
        """Measure changes of configuration."""
        window = await self._begin()
        for index in range(_CHANGES):
            await self._publish(index)
            await anyio.sleep(_CHANGE_EVERY_S)
        self._add("changes", {**await window.end(), "changes": _CHANGES})
        times = [
            await self._time_change(index) for index in range(_TIMED_CHANGES)
        ]
        self._add("change-time", {"in_force_s_max": max(times)})

    async def loss(self, *, of_coordinator: bool) -> None:
        """Measure the loss of one daemon with its target."""
        await anyio.sleep(_SETTLE_BEFORE_LOSS_S)
        name = await coordinator(self._cluster)
        owned = await keys_by_owner(self._cluster, self._client, _KEYS)
        others = [other for other in owned if other not in (name, "")]
        lost = name if of_coordinator else self._rng.choice(sorted(others))
        window = await self._begin()
        started = time.monotonic()
        self._cluster.servers[lost].kill()
        served_s = await self._until_served(owned.get(lost, []), started)
        await anyio.sleep(max(0.0, started + _LOSS_S - time.monotonic()))
        figures = {**await window.end(), "served_again_s": served_s}
        self._add("loss-coordinator" if of_coordinator else "loss", figures)
        await self._start_again([self._cluster.servers[lost]])

    async def restart(self) -> None:
        """Measure the stop and start of many daemons at once."""
        servers = list(self._cluster.servers.values())
        count = max(1, int(_RESTART_SHARE * len(servers)))
        chosen = self._rng.sample(servers, count)
        window = await self._begin()
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for server in chosen:
                tasks.start_soon(_stop, server)
        stopped_s = time.monotonic() - started
        await self._start_again(chosen)
        ready_s = time.monotonic() - started
        await anyio.sleep(max(0.0, started + _RESTART_S - time.monotonic()))
        figures = await window.end()
        self._add(
            "restart",
            {
                **figures,
                "restarted": count,
                "stopped_s": stopped_s,
                "ready_s": ready_s,
            },
        )

    async def _begin(self) -> Window:
        await anyio.sleep(_SETTLE_S)
        window = Window(self._cluster, self._client)
        await window.begin()
        return window

    def _add(self, step: str, figures: dict[str, float]) -> None:
        self._recorder.add(step, **self._sizes, **figures)

    async def _publish(self, index: int) -> None:
        text = document(self._sizes["slices"], deadline_ms=4001 + index)
        await self._cluster.publish(text)

    async def _time_change(self, index: int) -> float:
        """Return the seconds until a change is in force everywhere."""
        started = time.monotonic()
        text = document(self._sizes["slices"], deadline_ms=5001 + index)
        await self._cluster.publish(text)
        for server in self._cluster.servers.values():
            while await self._document(server) != text:
                await anyio.sleep(_POLL_S)
        return time.monotonic() - started

    async def _document(self, server: Server) -> str:
        reply = await self._client.get(f"{server.admin_url}/v1/config")
        return str(reply.json()["document"])

    async def _pins(self, keys: list[str]) -> int:
        server = next(iter(self._cluster.servers.values()))
        pinned = 0
        for key in keys:
            reply = await self._client.get(
                f"{server.admin_url}/v1/owner",
                params={"service": SERVICE, "key": key},
            )
            pinned += reply.json()["pinned"]
        return pinned

    async def _until_served(self, keys: list[str], started: float) -> float:
        """Return the seconds until all keys were answered."""
        left = set(keys)
        asked = self._survivor()
        with anyio.move_on_after(_SERVED_TIMEOUT_S):
            while left:
                for key in sorted(left):
                    if await ask(self._client, asked, key, _ASK_TIMEOUT_S):
                        left.discard(key)
                await anyio.sleep(_POLL_S)
            return time.monotonic() - started
        return float("inf")

    def _survivor(self) -> Server:
        return next(
            server
            for server in self._cluster.servers.values()
            if server.daemon.is_running
        )

    async def _start_again(self, servers: list[Server]) -> None:
        for server in servers:
            server.start()
        await self._cluster.wait_admitted(servers)


async def measure_control(
    recorder: Recorder,
    *,
    daemons: int,
    slices: int,
    steps: list[str],
    seed: int,
) -> None:
    """
    Start a site and take the steps in turn.

    :param steps: names of steps, see ``STEPS``.
    """
    async with open_cluster(plans(daemons)) as cluster:
        await cluster.start()
        await cluster.publish(document(slices))
        await wait_owned(cluster, slices)
        async with cluster.operator() as client:
            run = ControlRun(
                cluster=cluster,
                client=client,
                recorder=recorder,
                slices=slices,
                rng=random.Random(seed),
            )
            for step in steps:
                await _take(run, step)


STEPS = ("rest", "changes", "hot", "loss", "loss-coordinator", "restart")


async def _take(run: ControlRun, step: str) -> None:
    if step == "rest":
        await run.rest()
    elif step == "changes":
        await run.changes()
    elif step == "hot":
        await run.hot_keys()
    elif step == "restart":
        await run.restart()
    else:
        await run.loss(of_coordinator=step == "loss-coordinator")


async def _stop(server: Server) -> None:
    await server.daemon.terminate(_STOP_TIMEOUT_S)
    server.target.kill()
