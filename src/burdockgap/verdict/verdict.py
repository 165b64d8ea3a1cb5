"""The verdict on one attempt at a request."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about whether a target ran a request."""

    NOT_RUN = "not-run"
    """It is certain that no target ran the request."""

    MAY_HAVE_RUN = "may-have-run"
    """The request was sent to a target and the outcome is unknown."""

    RAN = "ran"
    """A target ran the request and responded."""
