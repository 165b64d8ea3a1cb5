"""The interface to the daemon's own target."""

from __future__ import annotations

from burdockgap.target.grant import Grant
from burdockgap.target.http_target import HttpTarget
from burdockgap.target.target import Target
from burdockgap.target.target_info import TargetInfo
from burdockgap.target.target_reply import TargetReply
from burdockgap.target.target_request import TargetRequest
from burdockgap.target.target_status import TargetStatus

__all__ = [
    "Grant",
    "HttpTarget",
    "Target",
    "TargetInfo",
    "TargetReply",
    "TargetRequest",
    "TargetStatus",
]
