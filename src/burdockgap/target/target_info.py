"""What a target announces about itself."""

from __future__ import annotations


class TargetInfo:
    """
    A target's announcement.

    :param service: the service that the target serves.
    :param url: base URL of its HTTP endpoint.
    :param boot_id: changes whenever the target process restarts.
    :param slots: concurrent requests that it can run when warm.
    :param cold_slots: concurrent requests that it can run when cold.
    :param checks_grants: whether it refuses requests without a grant.
    """

    __slots__ = (
        "boot_id",
        "checks_grants",
        "cold_slots",
        "service",
        "slots",
        "url",
    )

    def __init__(
        self,
        *,
        service: str,
        url: str,
        boot_id: str,
        slots: int,
        cold_slots: int,
        checks_grants: bool,
    ) -> None:
        self.service = service
        self.url = url
        self.boot_id = boot_id
        self.slots = slots
        self.cold_slots = cold_slots
        self.checks_grants = checks_grants
