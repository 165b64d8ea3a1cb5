"""The configuration document that operators publish."""

from __future__ import annotations

from burdockgap.config.check_change import check_change
from burdockgap.config.document import Document
from burdockgap.config.parse import parse_document
from burdockgap.config.problem import Problem
from burdockgap.config.profile import Profile
from burdockgap.config.service_config import ServiceConfig

__all__ = [
    "Document",
    "Problem",
    "Profile",
    "ServiceConfig",
    "check_change",
    "parse_document",
]
