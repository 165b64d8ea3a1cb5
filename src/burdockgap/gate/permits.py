"""The interface that allows or refuses each dispatch of the gate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from burdockgap.gate.permit import Permit


class Permits(Protocol):
    """Allows or refuses dispatches and tracks the permitted ones."""

    def check(self, key_hash: int | None) -> None:
        """
        Raise the refusal that :meth:`enter` would raise now.

        :param key_hash: hash of the key, ``None`` for unkeyed requests.
        :raises Refusal: with ``not-run``.
        """
        ...

    def enter(self, key_hash: int | None) -> AbstractContextManager[Permit]:
        """
        Permit one dispatch; hold the context until the request ends.

        :param key_hash: hash of the key, ``None`` for unkeyed requests.
        :raises Refusal: with ``not-run``.
        """
        ...
