"""Permission to dispatch one request."""

from __future__ import annotations

from typing import Protocol


class Permit(Protocol):
    """
    Permission for the daemon to send one request to its target.

    ``expires_at`` moves with each renewal of the lease, so that a
    request that runs longer than one lease is not cut off. The gate
    cancels requests whose permit has expired.
    """

    @property
    def unit(self) -> int | None:
        """The unit of a keyed request, else ``None``."""
        ...

    @property
    def epoch(self) -> int:
        """The fencing epoch of the unit, zero for unkeyed requests."""
        ...

    @property
    def expires_at(self) -> float:
        """Clock time at which the lease expires, in seconds."""
        ...
