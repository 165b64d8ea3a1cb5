"""The error for a load whose figures are impossible."""

from __future__ import annotations


class LoadError(ValueError):
    """A load has a figure that no server can have."""
