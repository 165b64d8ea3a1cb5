"""Refusals of calls that were not run."""

from burdockgap.verdict import Reason, Refusal, Verdict


def not_run(reason: Reason) -> Refusal:
    """Return the refusal of a call that may be sent to others."""
    return Refusal(Verdict.NOT_RUN, reason)
