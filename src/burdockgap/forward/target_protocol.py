"""The interface of what a target speaks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.forward.call import Call
    from burdockgap.http1.response import Response
    from burdockgap.verdict import Verdict


class TargetProtocol(Protocol):
    """Turns calls into a target's requests and reads its responses."""

    def encode(self, call: Call, *, target_id: str, left_s: float) -> bytes:
        """Return the bytes of a call for one target."""
        ...

    def matches(self, call: Call, response: Response) -> bool:
        """Tell whether a response belongs to a call."""
        ...

    def verdict(self, response: Response) -> Verdict:
        """Return whether the target ran the request."""
        ...

    def is_complete(self, response: Response) -> bool:
        """Tell whether a success is the target's whole answer."""
        ...

    def slowness(self, response: Response) -> float:
        """Return how many times longer work takes than usual."""
        ...

    def encode_grant(
        self,
        *,
        first: int,
        last: int,
        fence: int,
        hold_s: float,
        handover: str,
    ) -> bytes:
        """Return the bytes of a grant of keys, both ends included."""
        ...

    def encode_release(self, *, first: int, last: int, fence: int) -> bytes:
        """Return the bytes of a call that takes keys back."""
        ...

    def handover(self, response: Response) -> str:
        """Return the handover of a release, or ""."""
        ...
