"""The failure of a demo."""

from __future__ import annotations


class DemoError(Exception):
    """The demo did not go as it should."""
