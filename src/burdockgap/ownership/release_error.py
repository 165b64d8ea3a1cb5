"""The failure of a release."""

from __future__ import annotations


class ReleaseError(Exception):
    """Units were not released; asking again may help."""
