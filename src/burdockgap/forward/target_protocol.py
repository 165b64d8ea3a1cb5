"""The interface of the protocol between daemon and target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.forward.call import Call
    from burdockgap.forward.target_notice import TargetNotice
    from burdockgap.http1.response import Response
    from burdockgap.verdict import Verdict


class TargetProtocol(Protocol):
    """Encodes requests to a target and interprets its responses."""

    def encode_head(
        self, call: Call, *, target_id: str, left_s: float
    ) -> bytes:
        """
        Return the bytes of a call for one target that precede its body.

        :param left_s: time until the deadline, in seconds.
        """
        ...

    def matches(self, call: Call, response: Response) -> bool:
        """Return whether a response belongs to a call."""
        ...

    def verdict(self, response: Response) -> Verdict:
        """Return whether the target ran the request."""
        ...

    def is_complete(self, response: Response) -> bool:
        """Return whether a successful response is complete."""
        ...

    def slowness(self, response: Response) -> float:
        """Return the slowdown that the target reports; 1.0 is none."""
        ...

    def notice(self, call: Call, response: Response) -> TargetNotice | None:
        """
        Return what the target says of itself.

        :return: ``None`` if the response may come from another process
            or cannot be understood.
        """
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
        """
        Return the bytes of a grant of keys, both ends included.

        :param fence: the fencing token.
        :param hold_s: duration of the grant, in seconds.
        :param handover: the value that the target returned at the
            previous release, or "".
        """
        ...

    def encode_release(self, *, first: int, last: int, fence: int) -> bytes:
        """Return the bytes of a call that revokes granted keys."""
        ...

    def is_control_response(self, response: Response) -> bool:
        """
        Return whether a response may be that of a grant or release.

        Those have no id; one with an id belongs to a caller's request.
        """
        ...

    def handover(self, response: Response) -> str:
        """Return the handover in a release's response, or ""."""
        ...
