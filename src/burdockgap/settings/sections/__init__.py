"""The values of each section of the settings."""

from __future__ import annotations

from burdockgap.settings.sections.admin import AdminSettings
from burdockgap.settings.sections.coordinator import CoordinatorSettings
from burdockgap.settings.sections.daemon import DaemonSettings
from burdockgap.settings.sections.drain import DrainSettings
from burdockgap.settings.sections.http import HttpSettings
from burdockgap.settings.sections.lease import LeaseSettings
from burdockgap.settings.sections.log import LogSettings
from burdockgap.settings.sections.logging import LoggingSettings
from burdockgap.settings.sections.peer import PeerSettings
from burdockgap.settings.sections.target import TargetSettings

__all__ = [
    "AdminSettings",
    "CoordinatorSettings",
    "DaemonSettings",
    "DrainSettings",
    "HttpSettings",
    "LeaseSettings",
    "LogSettings",
    "LoggingSettings",
    "PeerSettings",
    "TargetSettings",
]
