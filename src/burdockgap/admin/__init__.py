"""The administration API of a daemon."""

from __future__ import annotations

from burdockgap.admin.app import AdminApp
from burdockgap.admin.backend import AdminBackend, Change
from burdockgap.admin.change_outcome import ChangeOutcome
from burdockgap.admin.change_verdict import ChangeVerdict

__all__ = [
    "AdminApp",
    "AdminBackend",
    "Change",
    "ChangeOutcome",
    "ChangeVerdict",
]
