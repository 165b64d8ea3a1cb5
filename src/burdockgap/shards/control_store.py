"""Conditional reads and writes of the stored control state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.metadata.store_error import StoreError, WriteConflict
from burdockgap.shards.control_state import ControlState

if TYPE_CHECKING:
    from burdockgap.metadata.keyed_store import KeyedStore, Position

_TOPIC = "keyed.burdockgap-control"
_KEY = "state"
_FIRST_GENERATION = 1


class ControlStore:
    """
    Reads and writes the control state with optimistic concurrency.

    A write takes effect only if nothing was written since the last read
    or write of this object. After a write of unknown outcome the state
    has to be read again before the next write.

    :param store: the platform's store.
    """

    __slots__ = ("_end", "_generation", "_store")

    def __init__(self, store: KeyedStore) -> None:
        self._store = store
        self._end: int | None = None
        self._generation = 0

    @property
    def generation(self) -> int:
        """The store's generation at the last read."""
        return self._generation

    @property
    def position(self) -> Position:
        """
        The end of the stored state after the last read or write.

        :raises WriteConflict: if the outcome of the last write is
            unknown.
        """
        if self._end is None:
            raise WriteConflict("the end of the control state is unknown")
        return self._generation, self._end

    def has_lost(self, state: ControlState | None) -> bool:
        """
        Return whether the store may have lost a state, or later ones.

        That is so once it was restored from a copy after the write.

        :param state: ``None`` stands for a store without any state.
        """
        generation = _FIRST_GENERATION if state is None else state.generation
        return generation < self._store.generation.number

    async def read(self) -> ControlState | None:
        """
        Return the stored state, ``None`` if there is none.

        :raises StoreError: if the store does not answer, or the stored
            state is malformed.
        """
        newest = await self._store.newest(_TOPIC)
        value = newest.values.get(_KEY)
        try:
            state = ControlState.decode(value) if value is not None else None
        except ValueError as exc:
            raise StoreError(str(exc)) from exc
        self._generation, self._end = newest.position
        return state

    async def write(self, state: ControlState) -> None:
        """
        Replace the state that was read or written last.

        :param state: gets the generation of the store set.
        :raises WriteConflict: if another writer wrote in the meantime,
            or the state has to be read again first.
        :raises StoreError: if the outcome is unknown.
        """
        if self._end is None:
            raise WriteConflict(
                "the control state has to be read before it is written"
            )
        if self._generation < self._store.generation.number:
            # The condition may hold by chance: offsets are used again.
            raise WriteConflict("the store was restored from a copy")
        at, self._end = self._end, None
        state.generation = self._generation
        self._end = await self._store.put(_TOPIC, _KEY, state.encode(), at=at)
