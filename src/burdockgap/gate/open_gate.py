"""A context manager that runs a gate."""

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
    Run a gate and its background tasks while the context lasts.

    :param service: the target's service.
    :param permits: allows or refuses each dispatch.
    :param policy: the settings from the service's profile.
    :param clock: the time source.
    :param stall_s: seconds without a response, a healthy status or an
        accepted connection after which the target counts as stalled.
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
