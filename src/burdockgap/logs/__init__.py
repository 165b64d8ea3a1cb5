"""Log lines of the process."""

from __future__ import annotations

from burdockgap.logs.set_up import set_up_logs

__all__ = ["set_up_logs"]
