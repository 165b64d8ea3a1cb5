"""One request from its slot to the end of its work."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from burdockgap.gate.gate_request import GateRequest
    from burdockgap.gate.logged_request import LoggedRequest
    from burdockgap.gate.permit import Permit
    from burdockgap.target import Target


class Flight:
    """
    A request that holds a slot, and later a permit.

    Both are held until the target has certainly ended the work, which
    can be after the caller has gone.

    :param req: the request.
    :param entry: its record, ``None`` for idempotent requests.
    :param target: the target process that gets it.
    :param boot_id: that process.
    """

    __slots__ = (
        "answered",
        "boot_id",
        "dispatched_at",
        "ended",
        "entry",
        "failed",
        "held",
        "permit",
        "req",
        "scope",
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
        self.held = ExitStack()
        self.scope = anyio.CancelScope()
        self.permit: Permit | None = None
        self.dispatched_at = 0.0
        self.service_s = 0.0
        self.answered = False
        self.failed = False
        self.ended = False

    @property
    def is_running(self) -> bool:
        """Whether the target may still work on the request."""
        return self.permit is not None and not self.ended

    def dispatched(self, at: float) -> None:
        """Take the moment from which on the target may run it."""
        self.dispatched_at = at
        if self.entry is not None:
            self.entry.dispatched = True

    def refused(self) -> None:
        """Take the proof that the target did not run it."""
        self.ended = True
        if self.entry is not None:
            self.entry.dispatched = False

    def extend(self, now: float) -> None:
        """
        Let the work go on to the end of the lease as it is now.

        :param now: clock time.
        """
        if self.permit is not None:
            remaining_s = self.permit.expires_at - now
            self.scope.deadline = anyio.current_time() + remaining_s
