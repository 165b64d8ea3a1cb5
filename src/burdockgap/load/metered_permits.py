"""Permits that count the dispatches that they allow."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.gate.permit import Permit
    from burdockgap.gate.permits import Permits
    from burdockgap.load.load_meter import LoadMeter


class MeteredPermits:
    """
    Delegates to other permits and counts permitted keyed requests.

    :param permits: allows or refuses each dispatch.
    :param meter: counts the permitted keyed requests.
    """

    __slots__ = ("_meter", "_permits")

    def __init__(self, permits: Permits, meter: LoadMeter) -> None:
        self._permits = permits
        self._meter = meter

    def check(self, key_hash: int | None) -> None:
        """
        Raise the refusal that :meth:`enter` would raise now.

        :raises Refusal: with ``not-run``.
        """
        self._permits.check(key_hash)

    @contextmanager
    def enter(self, key_hash: int | None) -> Iterator[Permit]:
        """
        Permit one dispatch and count it.

        :raises Refusal: with ``not-run``.
        """
        with self._permits.enter(key_hash) as permit:
            if key_hash is not None and permit.unit is not None:
                self._meter.add(key_hash, permit.unit)
            yield permit
