"""Names of daemons, data centres and regions."""

from __future__ import annotations


class Name:
    """Up to 64 letters, digits, dots, underscores and hyphens."""

    __slots__ = ()
