"""Permission to dispatch one request."""

from __future__ import annotations

from typing import Protocol


class Permit(Protocol):
    """
    Proof that the daemon may give a request to its target now.

    Its end moves on while the lease is renewed, so that work longer
    than a lease is not cut off. The gate cancels work whose permit has
    expired.
    """

    @property
    def unit(self) -> int | None:
        """The unit of a keyed request, else ``None``."""
        ...

    @property
    def epoch(self) -> int:
        """The unit's epoch, zero for unkeyed requests."""
        ...

    @property
    def expires_at(self) -> float:
        """Clock time at which the lease ends, in seconds."""
        ...
