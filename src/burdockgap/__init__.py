"""A router for servers that own keys exclusively."""

from __future__ import annotations

__version__ = "0.1.0"
