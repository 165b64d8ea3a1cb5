"""The control state in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.metadata.store_error import StoreError, WriteConflict
from burdockgap.shards.control_state import ControlState

if TYPE_CHECKING:
    from burdockgap.metadata.keyed_store import KeyedStore

_TOPIC = "keyed.burdockgap-control"
_KEY = "state"


class ControlStore:
    """
    Reads and writes the control state under a condition.

    A write takes effect only where nobody has written since the last
    read. After a write of unknown outcome the state has to be read
    again before the next one.

    :param store: the platform's store.
    """

    __slots__ = ("_end", "_store")

    def __init__(self, store: KeyedStore) -> None:
        self._store = store
        self._end: int | None = None

    async def read(self) -> ControlState | None:
        """
        Return the stored state, ``None`` if there is none.

        :raises StoreError: if the store does not answer.
        """
        newest = await self._store.newest(_TOPIC)
        value = newest.values.get(_KEY)
        try:
            state = ControlState.decode(value) if value is not None else None
        except ValueError as exc:
            raise StoreError(str(exc)) from exc
        self._end = newest.end
        return state

    async def write(self, state: ControlState) -> None:
        """
        Write a state in place of the one that was read or written last.

        :raises WriteConflict: if another one was written meanwhile.
        :raises StoreError: if the outcome is unknown.
        """
        if self._end is None:
            raise WriteConflict("the stored state has to be read first")
        at, self._end = self._end, None
        self._end = await self._store.put(_TOPIC, _KEY, state.encode(), at=at)
