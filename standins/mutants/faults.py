"""The faults; each replaces one decision of the program."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from burdockgap.fold.config_state import ConfigState
from burdockgap.lease.certificates import Certificates
from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.ownership.activator import Activator
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.router.attempt_history import AttemptHistory
from burdockgap.router.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.records.config_change import ConfigChange
    from burdockgap.verdict import Refusal

_HASTY_S = 0.5


def _replace(kind: type, name: str, value: Any) -> None:
    setattr(kind, name, value)


def _endless_lease() -> None:
    """Hold a lease for ever once it was held."""
    real = LeaseHolder.expires_at

    def expires_at(self: LeaseHolder) -> float:
        return math.inf if real(self) > 0 else real(self)

    _replace(LeaseHolder, "expires_at", expires_at)


def _hasty_witness() -> None:
    """Promise before the lease has ended."""
    _replace(LeaseTiming, "expiry_s", property(lambda _self: _HASTY_S))


def _repeats_all() -> None:
    """Repeat non-idempotent requests that may have run."""
    real = Router._first_answer

    async def first_answer(self: Router, stack: Any, req: Any) -> Any:
        _replace(req, "idempotent", True)
        return await real(self, stack, req)

    _replace(Router, "_first_answer", first_answer)


def _denies_runs() -> None:
    """Tell callers that nothing has run."""

    def overall(_self: AttemptHistory, last: Refusal) -> Refusal:
        return type(last)(type(last.verdict).NOT_RUN, last.reason, last.detail)

    _replace(AttemptHistory, "overall", overall)


def _accepts_all() -> None:
    """Accept changes against any version."""
    real = ConfigState.apply

    def apply(self: ConfigState, offset: int, record: ConfigChange) -> Any:
        record.against = self.version
        return real(self, offset, record)

    _replace(ConfigState, "apply", apply)


def _no_takeover() -> None:
    """Leave the units of a dead owner alone."""

    def on_certificate(_self: Activator, _session_id: int) -> None:
        return

    _replace(Activator, "on_certificate", on_certificate)


def _no_resync() -> None:
    """Pass over the news of a snapshot."""
    for kind in (Witness, Certificates, OwnSessions, Activator):
        _replace(kind, "resync", lambda _self: None)


FAULTS: dict[str, Callable[[], None]] = {
    "accepts-all": _accepts_all,
    "denies-runs": _denies_runs,
    "endless-lease": _endless_lease,
    "hasty-witness": _hasty_witness,
    "no-resync": _no_resync,
    "no-takeover": _no_takeover,
    "repeats-all": _repeats_all,
}
