"""A request in flight, from its slot to the end of its execution."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from burdockgap.gate.gate_request import GateRequest
    from burdockgap.gate.logged_request import LoggedRequest
    from burdockgap.gate.permit import Permit
    from burdockgap.target import Target


class ActiveRequest:
    """
    A request that holds a slot and, once dispatched, a permit.

    Both are held until the target has certainly ended the request,
    which can be after the caller has disconnected.

    :param req: the request.
    :param entry: its log entry, ``None`` for idempotent requests.
    :param target: endpoints of the process that the request is sent to.
    :param boot_id: boot id of that process.
    """

    __slots__ = (
        "answered",
        "boot_id",
        "dispatched_at",
        "ended",
        "entry",
        "failed",
        "resources",
        "permit",
        "req",
        "cancel_scope",
        "service_s",
        "target",
    )

    def __init__(
        self,
        *,
        req: GateRequest,
        entry: LoggedRequest | None,
        target: Target,
        boot_id: str,
    ) -> None:
        self.req = req
        self.entry = entry
        self.target = target
        self.boot_id = boot_id
        self.resources = ExitStack()
        self.cancel_scope = anyio.CancelScope()
        self.permit: Permit | None = None
        self.dispatched_at = 0.0
        self.service_s = 0.0
        self.answered = False
        self.failed = False
        self.ended = False

    @property
    def is_running(self) -> bool:
        """Whether the target may still be running the request."""
        return self.permit is not None and not self.ended

    def mark_dispatched(self, at: float) -> None:
        """Record that the target may run the request from ``at`` on."""
        self.dispatched_at = at
        if self.entry is not None:
            self.entry.dispatched = True

    def mark_not_run(self) -> None:
        """Record that the target certainly did not run the request."""
        self.ended = True
        if self.entry is not None:
            self.entry.dispatched = False

    def extend_deadline(self, now: float) -> None:
        """
        Move the request's deadline to the current end of its lease.

        :param now: clock time in seconds.
        """
        if self.permit is not None:
            remaining_s = self.permit.expires_at - now
            self.cancel_scope.deadline = anyio.current_time() + remaining_s
