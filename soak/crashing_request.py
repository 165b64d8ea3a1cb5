"""A request that crashes each server that begins to run it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from soak.invariants import UNDISTURBED_S
from soak.machine import CALLERS_PORT
from soak.server import CRASH_PATH

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak.machine import Machine
    from soak.site import Site

_INTERVAL_S = (0.5, 4.0)
_DOWN_S = (0.1, 4.0)
_DEADLINE_MS = 900
_REQUEST_TIMEOUT_S = 1.0


class CrashingRequest:
    """
    Sends the request again and again, at random machines.

    :param site: the site under test.
    :param rng: chooses machines and pauses.
    :param log: called with a description of each crash.
    """

    def __init__(
        self, site: Site, rng: random.Random, log: Callable[[str], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._site = site
        self._rng = rng
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        self._sender: Machine | None = None
        self._sent_at = 0.0
        for machine in site.machines:
            machine.server.on_crash = self._crash_of(machine)

    async def run(self, deadline: float) -> None:
        """
        Send it until a time, then wait until all servers are back.

        :param deadline: on the event loop's clock.
        """
        number = 0
        while self._loop.time() < deadline:
            await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
            number += 1
            await self._send(self._rng.choice(self._site.machines), number)
        await asyncio.gather(*self._tasks)

    async def _send(self, machine: Machine, number: int) -> None:
        self._sender, self._sent_at = machine, self._loop.time()
        pool = ClientPool(
            (machine.real, CALLERS_PORT), connect_timeout_s=0.5, idle_s=5.0
        )
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", f"crash-{number}"),
            ("Deadline-Milliseconds", str(_DEADLINE_MS)),
        ]
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                await pool.exchange(encode_request("GET", CRASH_PATH, headers))
        except (ExchangeError, TimeoutError):
            pass
        finally:
            pool.close()

    def _crash_of(self, machine: Machine) -> Callable[[], None]:
        def crash() -> None:
            self._record(machine)
            task = self._loop.create_task(self._crash(machine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        return crash

    def _record(self, machine: Machine) -> None:
        """Record the run; it counts if both machines were in touch."""
        assert self._sender is not None
        calm_s = min(
            self._sender.undisturbed_s(),
            machine.undisturbed_s(),
            self._site.store_undisturbed_s(),
        )
        self._site.checker.record_crash(
            machine.server.incarnation,
            sent_at=self._sent_at,
            in_touch=calm_s > UNDISTURBED_S,
            now=self._loop.time(),
        )

    async def _crash(self, machine: Machine) -> None:
        self._log(f"request crashes the server {machine.name}")
        await machine.server.stop()
        await asyncio.sleep(self._rng.uniform(*_DOWN_S))
        if not machine.server.is_up:
            await machine.server.start()
