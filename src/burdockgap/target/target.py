"""The interface to the daemon's own target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from burdockgap.target.grant import Grant
    from burdockgap.target.target_reply import TargetReply
    from burdockgap.target.target_request import TargetRequest
    from burdockgap.target.target_status import TargetStatus


class Target(Protocol):
    """The endpoints of one target."""

    def send(
        self, req: TargetRequest
    ) -> AbstractAsyncContextManager[TargetReply]:
        """
        Send a request to the target.

        Leaving the context early cancels the request at the target. So
        does its timeout, which raises a refusal with ``DEADLINE``.

        :raises Refusal: with ``not-run`` if the target was not reached
            or reported that it did not run the request, otherwise with
            ``may-have-run``.
        """
        ...

    async def status(self) -> TargetStatus:
        """
        Query health and load.

        :raises ConnectionRefusedError: if no process listens.
        :raises ConnectionError: if the target does not respond.
        """
        ...

    async def grant(self, grant: Grant) -> bool:
        """Send a grant; return whether the target accepted it."""
        ...

    async def drain(self) -> None:
        """Notify the target that it receives no new requests."""
        ...

    async def cancel(self, request_id: str) -> bool:
        """
        Cancel a request at the target.

        A target refuses a cancelled request that it receives later.

        :return: whether the target reports that it no longer runs the
            request.
        :raises ConnectionRefusedError: if no process listens.
        """
        ...
