"""Whether a request may have run."""

from __future__ import annotations

from burdockgap.verdict.reason import Reason
from burdockgap.verdict.refusal import Refusal
from burdockgap.verdict.verdict import Verdict

__all__ = ["Reason", "Refusal", "Verdict"]
