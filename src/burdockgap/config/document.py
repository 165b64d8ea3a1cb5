"""The parsed configuration document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.config.fields import DEFAULT_PROFILE
from burdockgap.config.profile import Profile

if TYPE_CHECKING:
    from burdockgap.config.service_config import ServiceConfig


class Document:
    """
    Holds services and profiles by name.

    The profile ``default`` always exists; a document may override it.

    :param services: the services.
    :param profiles: the profiles.
    """

    __slots__ = ("profiles", "services")

    def __init__(
        self,
        services: dict[str, ServiceConfig] | None = None,
        profiles: dict[str, Profile] | None = None,
    ) -> None:
        self.services = services or {}
        self.profiles = profiles or {}
        self.profiles.setdefault(DEFAULT_PROFILE, Profile.default())

    def profile_of(self, service: str) -> Profile:
        """Return a service's profile; the default if it is unknown."""
        service_cfg = self.services.get(service)
        name = (
            service_cfg.profile if service_cfg is not None else DEFAULT_PROFILE
        )
        return self.profiles[name]

    def service_of_path(self, path: str) -> ServiceConfig | None:
        """Return the service whose path prefix is the longest match."""
        matches = [
            service
            for service in self.services.values()
            if _has_prefix(path, service.path_prefix)
        ]
        return max(
            matches,
            key=lambda candidate: len(candidate.path_prefix),
            default=None,
        )


def _has_prefix(path: str, prefix: str) -> bool:
    return prefix != "" and (path == prefix or path.startswith(prefix + "/"))
