"""Typed messages and their encoding."""

from __future__ import annotations

from burdockgap.wire.codec import DecodeError, pack, unpack
from burdockgap.wire.message import Message

__all__ = ["DecodeError", "Message", "pack", "unpack"]
