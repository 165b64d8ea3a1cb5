"""The error that fails the demo."""

from __future__ import annotations


class DemoError(Exception):
    """A step of the demo failed."""
