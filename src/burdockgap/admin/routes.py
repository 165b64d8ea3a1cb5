"""The routes of the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.change_handlers import ChangeHandlers
from burdockgap.admin.health_handlers import HealthHandlers
from burdockgap.admin.read_handlers import ReadHandlers
from burdockgap.admin.route import Route
from burdockgap.admin.target_handlers import TargetHandlers

if TYPE_CHECKING:
    from burdockgap.admin.backend import AdminBackend
    from burdockgap.metrics import Metrics


def make_routes(backend: AdminBackend, metrics: Metrics) -> list[Route]:
    """
    Return all routes of the API.

    :param backend: the daemon.
    :param metrics: its metrics.
    """
    read = ReadHandlers(backend)
    change = ChangeHandlers(backend)
    target = TargetHandlers(backend)
    health = HealthHandlers(backend, metrics)
    return [
        Route("GET", "/healthz", health.alive, requires_token=False),
        Route("GET", "/readyz", health.ready, requires_token=False),
        Route("GET", "/metrics", health.metrics, requires_token=False),
        Route("GET", "/v1/status", read.status),
        Route("GET", "/v1/owner", read.owner),
        Route("GET", "/v1/audit", read.audit),
        Route("GET", "/v1/config", read.config),
        Route("POST", "/v1/config", change.publish),
        Route("POST", "/v1/data-centres/*", change.data_centre),
        Route("POST", "/v1/targets/*", change.target),
        Route("POST", "/v1/sessions/*/end", change.end_session),
        Route("POST", "/v1/target/announce", target.announce),
        Route("POST", "/v1/target/leaving", target.leaving),
    ]
