"""Sends fenced grants to the target and renews them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.ownership.session_grants import SessionGrants
from burdockgap.target import Grant

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.lease.timing import LeaseTiming
    from burdockgap.ownership.own_session import OwnSession
    from burdockgap.target import Target

_CALL_TIMEOUT_S = 0.5
_RETRY_S = 0.05


class Grants:
    """
    Sends the target each session's lease and the epochs of its units.

    The epochs are sent when they change, the lease at each renewal.

    :param target: the target beside the daemon.
    :param clock: the source of elapsed time.
    :param timing: the durations of the lease protocol.
    :param margin_s: how much earlier than the lease a grant ends.
    :param checks_grants: whether the target checks grants; if not, none
        are sent.
    """

    __slots__ = (
        "_by_session",
        "_clock",
        "_margin_s",
        "_target",
        "_timing",
        "checks_grants",
    )

    def __init__(
        self,
        target: Target,
        *,
        clock: Clock,
        timing: LeaseTiming,
        margin_s: float,
        checks_grants: bool,
    ) -> None:
        self._target = target
        self._clock = clock
        self._timing = timing
        self._margin_s = margin_s
        self.checks_grants = checks_grants
        self._by_session: dict[int, SessionGrants] = {}

    def changed(self, session: OwnSession) -> None:
        """Schedule the sending of a session's changed units."""
        self._grants_of(session).changed.set()

    def target_restarted(self) -> None:
        """Resend all grants, as the restarted target has none."""
        for grants in self._by_session.values():
            grants.session.granted = {} if self.checks_grants else None
            grants.changed.set()

    async def run(self, session: OwnSession) -> None:
        """Send and renew the grants of a session until it ends."""
        session.granted = {} if self.checks_grants else None
        await session.admitted.wait()
        grants = self._grants_of(session)
        while not session.ended.is_set():
            if not await self._send_grant(session, grants):
                await anyio.sleep(_RETRY_S)
                continue
            with anyio.move_on_after(self._timing.renew_s):
                await grants.changed.wait()
        self._by_session.pop(session.session_id, None)

    async def withdraw(self, session: OwnSession) -> None:
        """
        Revoke the grants of units that a session no longer holds.

        Returns when the target has confirmed it or its last grant has
        expired.
        """
        grants = self._grants_of(session)
        grants.changed.set()
        async with grants.lock:
            ends_at = grants.valid_until
        while self._clock.now() < ends_at:
            if not grants.changed.is_set() or await self._send_grant(
                session, grants
            ):
                return
            await anyio.sleep(_RETRY_S)

    def _grants_of(self, session: OwnSession) -> SessionGrants:
        return self._by_session.setdefault(
            session.session_id, SessionGrants(session)
        )

    async def _send_grant(
        self, session: OwnSession, grants: SessionGrants
    ) -> bool:
        async with grants.lock:
            lease_s = self._lease_s(session)
            if not self.checks_grants or lease_s <= 0:
                return not self.checks_grants
            changed = grants.changed.is_set()
            grants.changed = anyio.Event()
            epochs = dict(session.holdings.active) if changed else None
            confirmed = await self._call_target(
                Grant(
                    session_id=session.session_id,
                    lease_s=lease_s,
                    epochs=epochs,
                )
            )
            grants.valid_until = self._clock.now() + lease_s
            if not confirmed:
                grants.changed.set()
            elif epochs is not None:
                session.granted = epochs
            return confirmed

    async def _call_target(self, grant: Grant) -> bool:
        with anyio.move_on_after(_CALL_TIMEOUT_S):
            try:
                return await self._target.grant(grant)
            except OSError:
                return False
        return False

    def _lease_s(self, session: OwnSession) -> float:
        if session.lease is None:
            return 0.0
        left = session.lease.expires_at() - self._clock.now()
        return min(left, self._timing.duration_s) - self._margin_s
