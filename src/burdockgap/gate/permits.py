"""The interface through which the gate asks whether it may dispatch."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from burdockgap.gate.permit import Permit


class Permits(Protocol):
    """Decides on each dispatch and counts the work in flight."""

    def check(self, key_hash: int | None) -> None:
        """
        Refuse early what :meth:`enter` would refuse now.

        :param key_hash: hash of the key, ``None`` for unkeyed requests.
        :raises Refusal: with ``not-run``.
        """
        ...

    def enter(self, key_hash: int | None) -> AbstractContextManager[Permit]:
        """
        Permit one dispatch; the context lasts until the work has ended.

        :param key_hash: hash of the key, ``None`` for unkeyed requests.
        :raises Refusal: with ``not-run``.
        """
        ...
