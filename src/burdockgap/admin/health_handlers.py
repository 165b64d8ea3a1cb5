"""Handlers for monitoring, without authentication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from burdockgap.admin.response import Response

if TYPE_CHECKING:
    from burdockgap.admin.backend import AdminBackend
    from burdockgap.admin.request import Request
    from burdockgap.metrics import Metrics


class HealthHandlers:
    """
    Handles requests of monitoring systems.

    :param backend: the daemon.
    :param metrics: its metrics.
    """

    __slots__ = ("_backend", "_metrics")

    def __init__(self, backend: AdminBackend, metrics: Metrics) -> None:
        self._backend = backend
        self._metrics = metrics

    async def metrics(self, _req: Request) -> Response:
        """Render the daemon's registry and the default registry."""
        text = generate_latest(self._metrics.registry)
        text += generate_latest(REGISTRY)
        return Response(200, text, CONTENT_TYPE_LATEST)

    async def alive(self, _req: Request) -> Response:
        """Report liveness: succeeds as long as the process responds."""
        return Response.text("alive")

    async def ready(self, _req: Request) -> Response:
        """Report whether the daemon accepts requests, or why not."""
        reason = self._backend.readiness()
        if reason:
            return Response.text(reason, 503)
        return Response.text("ready")
