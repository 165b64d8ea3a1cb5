"""Base URLs."""

from __future__ import annotations


class Url:
    """A URL with the scheme ``http`` or ``https`` and a host."""

    __slots__ = ()
