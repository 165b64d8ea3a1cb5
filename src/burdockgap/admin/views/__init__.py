"""What the administration API shows, one type each."""

from __future__ import annotations

from burdockgap.admin.views.audit_view import AuditView
from burdockgap.admin.views.config_view import ConfigView
from burdockgap.admin.views.daemon_view import DaemonView
from burdockgap.admin.views.data_centre_view import DataCentreView
from burdockgap.admin.views.owner_view import OwnerView
from burdockgap.admin.views.status_view import StatusView
from burdockgap.admin.views.target_view import TargetView
from burdockgap.admin.views.view import View

__all__ = [
    "AuditView",
    "ConfigView",
    "DaemonView",
    "DataCentreView",
    "OwnerView",
    "StatusView",
    "TargetView",
    "View",
]
