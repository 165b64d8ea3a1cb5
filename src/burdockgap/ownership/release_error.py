"""The error of a failed release."""

from __future__ import annotations


class ReleaseError(Exception):
    """Units were not released; a retry may succeed."""
