"""The lifetime of a gate."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.gate.gate import STALL_S, Gate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.gate.gate_policy import GatePolicy
    from burdockgap.gate.permits import Permits


@asynccontextmanager
async def open_gate(
    *,
    service: str,
    permits: Permits,
    policy: GatePolicy,
    clock: Clock,
    stall_s: float = STALL_S,
) -> AsyncIterator[Gate]:
    """
    Run a gate while the context lasts.

    :param service: the target's service.
    :param permits: decides on each dispatch.
    :param policy: the service's profile.
    :param clock: the time source.
    :param stall_s: seconds without a sign of life of the target after
        which it counts as stalled.
    """
    async with anyio.create_task_group() as tasks:
        gate = Gate(
            service=service,
            permits=permits,
            policy=policy,
            clock=clock,
            tasks=tasks,
            stall_s=stall_s,
        )
        gate.start()
        yield gate
        tasks.cancel_scope.cancel()
