"""Seeded faults; each replaces one decision of the daemon."""

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

_EARLY_EXPIRY_S = 0.5


def _replace(cls: type, name: str, value: Any) -> None:
    setattr(cls, name, value)


def _endless_lease() -> None:
    """Never let a lease expire once it was acquired."""
    original = LeaseHolder.expires_at

    def expires_at(self: LeaseHolder) -> float:
        return math.inf if original(self) > 0 else original(self)

    _replace(LeaseHolder, "expires_at", expires_at)


def _hasty_witness() -> None:
    """Let a witness treat a lease as expired before it has ended."""
    _replace(LeaseTiming, "expiry_s", property(lambda _self: _EARLY_EXPIRY_S))


def _accepts_all() -> None:
    """Accept changes that are based on any version."""
    original = ConfigState.apply

    def apply(self: ConfigState, offset: int, record: ConfigChange) -> Any:
        record.against = self.version
        return original(self, offset, record)

    _replace(ConfigState, "apply", apply)


def _no_takeover() -> None:
    """Never take over the units of an owner whose lease expired."""

    def on_certificate(_self: Activator, _session_id: int) -> None:
        return

    _replace(Activator, "on_certificate", on_certificate)


FAULTS: dict[str, Callable[[], None]] = {
    "accepts-all": _accepts_all,
    "endless-lease": _endless_lease,
    "hasty-witness": _hasty_witness,
    "no-takeover": _no_takeover,
}
