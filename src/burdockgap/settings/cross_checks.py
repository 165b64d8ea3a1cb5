"""The rules that span several settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.settings.cross_check import CrossCheck
from burdockgap.settings.endpoint import Endpoint

if TYPE_CHECKING:
    from burdockgap.settings.settings import Settings

_RENEWALS_PER_LEASE = 3
_ROUNDING_S = 1e-9


def _admin_is_guarded(settings: Settings) -> bool:
    """Tell whether the API is on loopback or requires a token."""
    bind = Endpoint.parse(settings.admin.bind)
    return bind.is_loopback or bool(settings.admin.token)


def _http_is_reachable(settings: Settings) -> bool:
    """Tell whether there is an address that callers can connect to."""
    bind = Endpoint.parse(settings.http.bind)
    return not bind.is_unspecified or bool(settings.http.advertise)


def _peer_is_reachable(settings: Settings) -> bool:
    """Tell whether there is an address that daemons can connect to."""
    bind = Endpoint.parse(settings.peer.bind)
    return not bind.is_unspecified or bool(settings.peer.advertise)


def _renewals_fit_lease(settings: Settings) -> bool:
    """
    Tell whether three renewals fit into a lease.

    Otherwise the loss of a renewal or two could end it.
    """
    lease = settings.lease
    renewals_s = lease.renew_s * _RENEWALS_PER_LEASE
    return renewals_s <= lease.duration_s + _ROUNDING_S


def _margin_is_below_duration(settings: Settings) -> bool:
    """Tell whether the margin is shorter than the lease."""
    return settings.lease.margin_s < settings.lease.duration_s


CROSS_CHECKS = (
    CrossCheck(
        keys=("admin.token", "admin.bind"),
        holds=_admin_is_guarded,
        text=(
            "expected a token, since admin.bind is not a loopback "
            "address; set one, or bind to 127.0.0.1"
        ),
    ),
    CrossCheck(
        keys=("http.advertise", "http.bind"),
        holds=_http_is_reachable,
        text=(
            "expected an address, since http.bind stands for all "
            "interfaces; set the one that callers reach"
        ),
    ),
    CrossCheck(
        keys=("peer.advertise", "peer.bind"),
        holds=_peer_is_reachable,
        text=(
            "expected an address, since peer.bind stands for all "
            "interfaces; set the one that daemons reach"
        ),
    ),
    CrossCheck(
        keys=("lease.renew_s", "lease.duration_s"),
        holds=_renewals_fit_lease,
        text=(
            "expected at most a third of lease.duration_s; lower it or "
            "raise the duration"
        ),
    ),
    CrossCheck(
        keys=("lease.margin_s", "lease.duration_s"),
        holds=_margin_is_below_duration,
        text="expected less than lease.duration_s",
    ),
)
"""All rules that span several settings."""
