"""The interface of the target beside the daemon."""

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
        Give a request to the target.

        Leaving the context early cancels the request at the target, as
        does the end of its time, which is a refusal with ``DEADLINE``.

        :raises Refusal: with ``not-run`` if the target was not reached
            or refused the request unrun, else ``may-have-run``.
        """
        ...

    async def status(self) -> TargetStatus:
        """
        Ask for health and load.

        :raises ConnectionRefusedError: if no process listens.
        :raises ConnectionError: if the target does not answer.
        """
        ...

    async def grant(self, grant: Grant) -> bool:
        """Give or renew permission; ``False`` if it was refused."""
        ...

    async def drain(self) -> None:
        """Tell the target that it gets no new work."""
        ...

    async def cancel(self, request_id: str) -> bool:
        """
        Tell the target that nobody waits for a request any more.

        A target refuses a cancelled request that it gets afterwards.

        :return: whether the target says that it does not run the
            request any more.
        :raises ConnectionRefusedError: if no process listens.
        """
        ...
