"""The state of the target's grants for one session."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from burdockgap.ownership.own_session import OwnSession


class SessionGrants:
    """
    The state of one session's grants.

    :param session: the session.
    :ivar changed: set when the epochs must be sent again.
    :ivar valid_until: clock time until which the target may hold a
        grant that it received.
    :ivar lock: serializes grant calls, so that they arrive in order.
    """

    __slots__ = ("changed", "lock", "session", "valid_until")

    def __init__(self, session: OwnSession) -> None:
        self.session = session
        self.changed = anyio.Event()
        self.valid_until = float("-inf")
        self.lock = anyio.Lock()
