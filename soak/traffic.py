"""Callers that keep their connections, and what they are answered."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from soak.machine import CALLERS_PORT, READY_PORT
from soak.promises import APPLY_S, TOUCH_S

if TYPE_CHECKING:
    import random

    from burdockgap.http1.response import Response
    from soak.machine import Machine
    from soak.site import Site

KEYS = 24
_DEADLINE_MS = 900
_GIVE_UP_S = 1.0
_PAUSE_S = 0.03
_PROBE_S = 0.4
_WORKERS = 2
_RECOVER_S = 15.0
_UNTIL_S = 0.25


class Traffic:
    """
    Sends requests to all machines.

    :param site: the site.
    :param rng: draws requests.
    :ivar statuses: answers by status; 0 stands for none.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._site = site
        self._rng = rng
        self._numbers = itertools.count(1)
        self.statuses: dict[int, int] = {}

    async def run(self) -> None:
        """Send requests for ever."""
        async with asyncio.TaskGroup() as tasks:
            for machine in self._site.machines:
                for _ in range(_WORKERS):
                    tasks.create_task(self._work(machine))
                tasks.create_task(self._probe(machine))

    async def recover(self) -> None:
        """Check that everything is served again in time."""
        until = self._loop.time() + _RECOVER_S
        missing: set[str] = set()
        while self._loop.time() < until:
            missing = await self._missing()
            if not missing:
                return
            await asyncio.sleep(_UNTIL_S)
        for what in sorted(missing):
            self._site.promises.not_recovered(what, self._loop.time())

    async def _missing(self) -> set[str]:
        missing = set()
        for machine in self._site.machines:
            pool = _pool(machine)
            if not await _is_ready(machine):
                missing.add(f"{machine.name} is not ready")
            if await self._ask(pool, "POST", "/book/x", None) != 200:
                missing.add(f"{machine.name} books nothing")
            for number in range(0, KEYS, 6):
                key = _key(number)
                status = await self._ask(pool, "GET", "/read/x", key)
                if status != 200:
                    missing.add(f"{machine.name} does not serve key {key}")
            pool.close()
        return missing

    async def _work(self, machine: Machine) -> None:
        pool = _pool(machine)
        while True:
            if self._rng.random() < 0.5:
                key = _key(self._rng.randrange(KEYS))
                await self._ask(pool, "GET", "/read/x", key)
            else:
                await self._ask(pool, "POST", "/book/x", None)
            await asyncio.sleep(_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _probe(self, machine: Machine) -> None:
        """Ask for the newest route, which shows the version."""
        pool = _pool(machine)
        while True:
            await asyncio.sleep(_PROBE_S)
            site, process = self._site, machine.incarnation
            version, now = site.version, self._loop.time()
            due = (
                now - site.changed_at > APPLY_S
                and machine.calm_s() > TOUCH_S
                and site.store_calm_s() > TOUCH_S + APPLY_S
            )
            path = f"/v{version}/x"
            status = await self._ask(pool, "GET", path, None)
            if process == machine.incarnation and status in (200, 404):
                site.promises.version_seen(
                    process,
                    version,
                    served=status == 200,
                    due=due,
                    now=self._loop.time(),
                )

    async def _ask(
        self,
        pool: ClientPool,
        method: str,
        path: str,
        key: int | None,
    ) -> int:
        """Send a request and return its status, 0 without an answer."""
        request_id = f"r{next(self._numbers)}"
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", request_id),
            ("Deadline-Milliseconds", str(_DEADLINE_MS)),
        ]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        data = encode_request(method, path, headers)
        status = 0
        try:
            async with asyncio.timeout(_GIVE_UP_S):
                response = await pool.exchange(data)
        except (ExchangeError, TimeoutError):
            pass
        else:
            status = response.status
            self._site.promises.answered(
                request_id, status, _answered(response), self._loop.time()
            )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return status


def _answered(response: Response) -> str:
    return response.body.decode() if response.is_success else ""


def _key(number: int) -> int:
    return number * 65536 // KEYS


def _pool(machine: Machine) -> ClientPool:
    return ClientPool(
        (machine.real, CALLERS_PORT), connect_timeout_s=0.5, idle_s=10.0
    )


async def _is_ready(machine: Machine) -> bool:
    pool = ClientPool(
        (machine.real, READY_PORT), connect_timeout_s=0.5, idle_s=1.0
    )
    data = encode_request("GET", "/api/readiness", [("Host", "x")])
    try:
        async with asyncio.timeout(_GIVE_UP_S):
            return (await pool.exchange(data)).status == 200
    except (ExchangeError, TimeoutError):
        return False
    finally:
        pool.close()
