"""Builders of servers that a request crashes."""

from __future__ import annotations

import asyncio
import itertools

PATH = "/crew/crash"
_BORN_STEP_MS = 1000


class Crashes:
    """
    Crashes each server that begins to run a request for :data:`PATH`.

    :param machines: the machines of the servers.
    :param down_s: time until a crashed server starts again, in seconds.
    :ivar crashed: the machines whose servers crashed, oldest first.
    """

    def __init__(self, machines, *, down_s=1.8):
        self.crashed = []
        self._machines = machines
        self._down_s = down_s
        self._tasks = set()
        self._starts = itertools.count(1)
        for machine in machines:
            self._prepare(machine)

    async def wait_restarted(self):
        """Wait until all servers that crashed are used again."""
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(0.5)

    async def end(self, machine):
        """End a server as a crash does, and start it again."""
        self._start_task(machine)
        await asyncio.gather(*self._tasks)

    def _prepare(self, machine):
        def crash_if_asked(req):
            if req.target == PATH:
                self.crashed.append(machine.name)
                self._start_task(machine)

        machine.app.before_run = crash_if_asked

    def _start_task(self, machine):
        machine.sends_heartbeats = False
        task = asyncio.create_task(self._restart(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, machine):
        await machine.stop_app()
        await asyncio.sleep(self._down_s)
        machine.born += _BORN_STEP_MS
        machine.sequence = 0
        machine.app.target_id += f"-{next(self._starts)}"
        await machine.start_app()
        machine.sends_heartbeats = True
