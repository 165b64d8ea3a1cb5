"""Callers with persistent connections that check the answers."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from soak.invariants import APPLY_S, UNDISTURBED_S
from soak.long_body import make_long_body
from soak.machine import CALLERS_PORT, READY_PORT

if TYPE_CHECKING:
    import random

    from burdockgap.http1.response import Response
    from soak.machine import Machine
    from soak.site import Site

KEYS = 24
_DEADLINE_MS = 900
_REQUEST_TIMEOUT_S = 1.0
_REQUEST_INTERVAL_S = 0.03
_PROBE_INTERVAL_S = 0.4
_WORKERS = 2
_LONG_INTERVAL = 4
"""Every so many bookings, one has a long body."""
_RECOVERY_TIMEOUT_S = 15.0
_RECOVERY_POLL_S = 0.25


class Traffic:
    """
    Sends requests to all machines.

    :param site: the site under test.
    :param rng: chooses requests and pauses.
    :ivar statuses: number of requests by status; 0 means no answer.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._site = site
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self.statuses: dict[int, int] = {}

    async def run(self) -> None:
        """Send requests to all machines until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for machine in self._site.machines:
                for _ in range(_WORKERS):
                    tasks.create_task(self._send_requests(machine))
                tasks.create_task(self._probe_configuration(machine))

    async def wait_recovered(self) -> None:
        """
        Wait until everything is served again.

        What is not served by the timeout is recorded as a violation.
        """
        deadline = self._loop.time() + _RECOVERY_TIMEOUT_S
        unserved: set[str] = set()
        while self._loop.time() < deadline:
            unserved = await self._find_unserved()
            if not unserved:
                return
            await asyncio.sleep(_RECOVERY_POLL_S)
        for what in sorted(unserved):
            self._site.checker.record_not_recovered(what, self._loop.time())

    async def _find_unserved(self) -> set[str]:
        unserved = set()
        for machine in self._site.machines:
            pool = _pool(machine)
            if not await _is_ready(machine):
                unserved.add(f"{machine.name} is not ready")
            if await self._send(pool, "POST", "/book/x", None) != 200:
                unserved.add(f"{machine.name} books nothing")
            version = self._site.operators.version
            if await self._send(pool, "GET", f"/v{version}/x", None) != 200:
                unserved.add(f"{machine.name} lacks version {version}")
            for number in range(0, KEYS, 6):
                key = _key(number)
                status = await self._send(pool, "GET", "/read/x", key)
                if status != 200:
                    unserved.add(f"{machine.name} does not serve key {key}")
            pool.close()
        return unserved

    async def _send_requests(self, machine: Machine) -> None:
        pool = _pool(machine)
        while True:
            if self._rng.random() < 0.5:
                key = _key(self._rng.randrange(KEYS))
                await self._send(pool, "GET", "/read/x", key)
            else:
                await self._send(pool, "POST", "/book/x", None)
            await asyncio.sleep(
                _REQUEST_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            )

    async def _probe_configuration(self, machine: Machine) -> None:
        """
        Request the route that the newest version added.

        The answer tells whether the daemon has applied the version.
        """
        pool = _pool(machine)
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            site, process = self._site, machine.incarnation
            version, now = site.operators.version, self._loop.time()
            due = (
                now - site.operators.changed_at > APPLY_S
                and machine.undisturbed_s() > UNDISTURBED_S
                and site.store_undisturbed_s() > UNDISTURBED_S
            )
            path = f"/v{version}/x"
            status = await self._send(pool, "GET", path, None)
            if process == machine.incarnation and status in (200, 404):
                site.checker.record_version(
                    process,
                    version,
                    served=status == 200,
                    due=due,
                    now=self._loop.time(),
                )

    async def _send(
        self,
        pool: ClientPool,
        method: str,
        path: str,
        key: int | None,
    ) -> int:
        """Send a request; return its status, 0 if it had no answer."""
        number = next(self._request_numbers)
        request_id = f"r{number}"
        body = b""
        if method == "POST" and number % _LONG_INTERVAL == 0:
            body = make_long_body(request_id)
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", request_id),
            ("Deadline-Milliseconds", str(_DEADLINE_MS)),
        ]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        data = encode_request(method, path, headers, body)
        status = 0
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                response = await pool.exchange(data)
        except (ExchangeError, TimeoutError):
            pass
        else:
            status = response.status
            self._site.checker.record_answer(
                request_id, status, _answered_id(response), self._loop.time()
            )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return status


def _answered_id(response: Response) -> str:
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
        async with asyncio.timeout(_REQUEST_TIMEOUT_S):
            return (await pool.exchange(data)).status == 200
    except (ExchangeError, TimeoutError):
        return False
    finally:
        pool.close()
