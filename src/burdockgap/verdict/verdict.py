"""The verdict on one attempt at a request."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about whether a target ran a request."""

    NOT_RUN = "not-run"
    """Proved: no target was given the request."""

    MAY_HAVE_RUN = "may-have-run"
    """A target was given the request and its outcome is unknown."""

    RAN = "ran"
    """A target answered the request."""
