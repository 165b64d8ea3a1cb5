"""Cost of control, with real daemons at several site sizes."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import anyio

from measure.sites import (
    SERVICE,
    find_coordinator,
    keys_by_owner,
    make_document,
    plan_servers,
    send_request,
    wait_all_owned,
)
from measure.window import Window
from standins.cluster import open_cluster

if TYPE_CHECKING:
    import httpx

    from measure.recorder import Recorder
    from standins.cluster import Cluster, Server

_SETTLE_S = 4.0
_SETTLE_BEFORE_LOSS_S = 8.0
_IDLE_WINDOW_S = 10.0
_IDLE_REPEATS = 2
_LOSS_WINDOW_S = 8.0
_RESTART_WINDOW_S = 12.0
_RESTART_SHARE = 0.25
_CHANGE_COUNT = 20
_CHANGE_INTERVAL_S = 0.5
_TIMED_CHANGE_COUNT = 5
_HOT_KEY_COUNT = 4
_PIN_TIMEOUT_S = 60.0
_PIN_POLL_S = 0.5
_KEY_COUNT = 64
_SERVED_TIMEOUT_S = 15.0
_REQUEST_TIMEOUT_S = 0.25
_POLL_S = 0.02
_STOP_TIMEOUT_S = 60.0


class ControlRun:
    """
    Runs the measurement steps on one site.

    :param cluster: the running site.
    :param client: HTTP client for requests and administration.
    :param recorder: records the results.
    :param slices: number of slices of the service.
    :param rng: chooses the daemons to stop and to send to.
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

    async def measure_idle(self) -> None:
        """Measure the site without requests or changes."""
        for _ in range(_IDLE_REPEATS):
            window = await self._open_window()
            await anyio.sleep(_IDLE_WINDOW_S)
            self._record("rest", await window.end())

    async def measure_hot_keys(self) -> None:
        """Measure the time until keys under load are pinned."""
        keys = [f"hot-{index}" for index in range(_HOT_KEY_COUNT)]
        window = await self._open_window()
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for key in keys:
                tasks.start_soon(self._request_until_cancelled, key)
            with anyio.move_on_after(_PIN_TIMEOUT_S):
                while await self._count_pinned(keys) < _HOT_KEY_COUNT:
                    await anyio.sleep(_PIN_POLL_S)
            pinned_s = time.monotonic() - started
            tasks.cancel_scope.cancel()
        figures = {
            **await window.end(),
            "pins": await self._count_pinned(keys),
        }
        self._record("hot", {**figures, "pinned_s": pinned_s})

    async def _request_until_cancelled(self, key: str) -> None:
        servers = list(self._cluster.servers.values())
        while True:
            await send_request(
                self._client, self._rng.choice(servers), key, 2.0
            )

    async def measure_config_changes(self) -> None:
        """Measure configuration changes and the time they take."""
        window = await self._open_window()
        for index in range(_CHANGE_COUNT):
            await self._publish(index)
            await anyio.sleep(_CHANGE_INTERVAL_S)
        self._record(
            "changes", {**await window.end(), "changes": _CHANGE_COUNT}
        )
        times = [
            await self._time_change(index)
            for index in range(_TIMED_CHANGE_COUNT)
        ]
        self._record("change-time", {"in_force_s_max": max(times)})

    async def measure_loss(self, *, of_coordinator: bool) -> None:
        """
        Kill one daemon with its target, then start them again.

        Records the time until the daemon's keys are served.

        :param of_coordinator: kill the coordinator, else a random
            other daemon that owns keys.
        """
        await anyio.sleep(_SETTLE_BEFORE_LOSS_S)
        name = await find_coordinator(self._cluster)
        owned = await keys_by_owner(self._cluster, self._client, _KEY_COUNT)
        others = [other for other in owned if other not in (name, "")]
        lost = name if of_coordinator else self._rng.choice(sorted(others))
        window = await self._open_window()
        started = time.monotonic()
        self._cluster.servers[lost].kill()
        served_s = await self._time_until_served(owned.get(lost, []), started)
        await anyio.sleep(
            max(0.0, started + _LOSS_WINDOW_S - time.monotonic())
        )
        figures = {**await window.end(), "served_again_s": served_s}
        self._record("loss-coordinator" if of_coordinator else "loss", figures)
        await self._start_and_wait([self._cluster.servers[lost]])

    async def measure_restart(self) -> None:
        """Measure stopping and starting a share of the daemons."""
        servers = list(self._cluster.servers.values())
        count = max(1, int(_RESTART_SHARE * len(servers)))
        chosen = self._rng.sample(servers, count)
        window = await self._open_window()
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for server in chosen:
                tasks.start_soon(_stop, server)
        stopped_s = time.monotonic() - started
        await self._start_and_wait(chosen)
        ready_s = time.monotonic() - started
        await anyio.sleep(
            max(0.0, started + _RESTART_WINDOW_S - time.monotonic())
        )
        figures = await window.end()
        self._record(
            "restart",
            {
                **figures,
                "restarted": count,
                "stopped_s": stopped_s,
                "ready_s": ready_s,
            },
        )

    async def _open_window(self) -> Window:
        await anyio.sleep(_SETTLE_S)
        window = Window(self._cluster, self._client)
        await window.begin()
        return window

    def _record(self, step: str, figures: dict[str, float]) -> None:
        self._recorder.add(step, **self._sizes, **figures)

    async def _publish(self, index: int) -> None:
        text = make_document(self._sizes["slices"], deadline_ms=4001 + index)
        await self._cluster.publish(text)

    async def _time_change(self, index: int) -> float:
        """Return the seconds until all daemons have a new config."""
        started = time.monotonic()
        text = make_document(self._sizes["slices"], deadline_ms=5001 + index)
        await self._cluster.publish(text)
        for server in self._cluster.servers.values():
            while await self._active_document(server) != text:
                await anyio.sleep(_POLL_S)
        return time.monotonic() - started

    async def _active_document(self, server: Server) -> str:
        reply = await self._client.get(f"{server.admin_url}/v1/config")
        return str(reply.json()["document"])

    async def _count_pinned(self, keys: list[str]) -> int:
        server = next(iter(self._cluster.servers.values()))
        pinned = 0
        for key in keys:
            reply = await self._client.get(
                f"{server.admin_url}/v1/owner",
                params={"service": SERVICE, "key": key},
            )
            pinned += reply.json()["pinned"]
        return pinned

    async def _time_until_served(
        self, keys: list[str], started: float
    ) -> float:
        """
        Return the seconds until every key was served once.

        Returns infinity if the timeout expires first.
        """
        unserved = set(keys)
        survivor = self._survivor()
        with anyio.move_on_after(_SERVED_TIMEOUT_S):
            while unserved:
                for key in sorted(unserved):
                    if await send_request(
                        self._client, survivor, key, _REQUEST_TIMEOUT_S
                    ):
                        unserved.discard(key)
                await anyio.sleep(_POLL_S)
            return time.monotonic() - started
        return float("inf")

    def _survivor(self) -> Server:
        return next(
            server
            for server in self._cluster.servers.values()
            if server.daemon.is_running
        )

    async def _start_and_wait(self, servers: list[Server]) -> None:
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
    Start a site and run the steps in order.

    :param daemons: number of daemons.
    :param slices: number of slices of the service.
    :param steps: names of steps, see ``STEPS``.
    :param seed: seed of the run's random choices.
    """
    async with open_cluster(plan_servers(daemons)) as cluster:
        await cluster.start()
        await cluster.publish(make_document(slices))
        await wait_all_owned(cluster, slices)
        async with cluster.operator() as client:
            run = ControlRun(
                cluster=cluster,
                client=client,
                recorder=recorder,
                slices=slices,
                rng=random.Random(seed),
            )
            for step in steps:
                await _run_step(run, step)


STEPS = ("rest", "changes", "hot", "loss", "loss-coordinator", "restart")


async def _run_step(run: ControlRun, step: str) -> None:
    if step == "rest":
        await run.measure_idle()
    elif step == "changes":
        await run.measure_config_changes()
    elif step == "hot":
        await run.measure_hot_keys()
    elif step == "restart":
        await run.measure_restart()
    else:
        await run.measure_loss(of_coordinator=step == "loss-coordinator")


async def _stop(server: Server) -> None:
    await server.daemon.terminate(_STOP_TIMEOUT_S)
    server.target.kill()
