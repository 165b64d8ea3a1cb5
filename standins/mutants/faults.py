"""The faults; each replaces one decision of the program."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from burdockgap.fold.config_state import ConfigState
from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.timing import LeaseTiming
from burdockgap.ownership.activator import Activator

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.records.config_change import ConfigChange

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


FAULTS: dict[str, Callable[[], None]] = {
    "accepts-all": _accepts_all,
    "endless-lease": _endless_lease,
    "hasty-witness": _hasty_witness,
    "no-takeover": _no_takeover,
}
