"""The target beside a daemon."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class TargetView(View):
    """
    The target beside a daemon.

    :param service: the service that it serves.
    :param url: base URL of its HTTP endpoint.
    :param boot_id: id of this run of its process.
    :param slots: requests that it can run at once when warm.
    :param checks_grants: whether it refuses work without a grant.
    :param healthy: whether it last reported that it can serve.
    :param leaving: whether it is about to stop.
    :param in_flight: requests that it is processing.
    :param limit: requests that it may process at once.
    """

    __slots__ = (
        "service",
        "url",
        "boot_id",
        "slots",
        "checks_grants",
        "healthy",
        "leaving",
        "in_flight",
        "limit",
    )

    def __init__(
        self,
        *,
        service: str,
        url: str,
        boot_id: str,
        slots: int,
        checks_grants: bool,
        healthy: bool,
        leaving: bool,
        in_flight: int,
        limit: int,
    ) -> None:
        self.service = service
        self.url = url
        self.boot_id = boot_id
        self.slots = slots
        self.checks_grants = checks_grants
        self.healthy = healthy
        self.leaving = leaving
        self.in_flight = in_flight
        self.limit = limit
