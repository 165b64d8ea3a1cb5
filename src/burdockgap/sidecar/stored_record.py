"""Records of daemons in the platform's store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.metadata.store_error import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.metadata.keyed_store import KeyedStore

_TOPIC = "keyed.burdockgap-departures"
"""All records are in one topic, so that one call reads them."""
_RETRY_DELAY_S = 0.3


class StoredRecord:
    """
    Writes a record each time it has changed, until the store has it.

    :param store: the platform's store.
    :param key: the record's key.
    :param encode: returns the record as bytes.
    :param on_failure: called with the cause when a write has failed.
    """

    __slots__ = (
        "_changed",
        "_encode",
        "_key",
        "_on_failure",
        "_revision",
        "_rewrites",
        "_saved",
        "_saved_revision",
        "_store",
    )

    def __init__(
        self,
        *,
        store: KeyedStore,
        key: str,
        encode: Callable[[], bytes],
        on_failure: Callable[[str], None],
    ) -> None:
        self._store = store
        self._key = key
        self._encode = encode
        self._on_failure = on_failure
        self._changed = asyncio.Event()
        self._saved = asyncio.Condition()
        self._revision = 0
        self._saved_revision = 0
        self._rewrites = 0

    def changed(self) -> None:
        """Write the record soon."""
        self._revision += 1
        self._changed.set()

    def write_again(self) -> None:
        """Write the record again after the store has lost writes."""
        self._saved_revision = -1
        self._rewrites += 1
        self._changed.set()

    async def run(self) -> None:
        """Write the record after each change until cancelled."""
        while True:
            self._changed.clear()
            if self._saved_revision < self._revision:
                await self._save(self._revision)
            else:
                await self._changed.wait()

    async def wait_until_saved(self, timeout_s: float) -> bool:
        """
        Wait until the store has the record as it is now.

        :param timeout_s: longest wait, in seconds.
        :return: whether it has it.
        """
        revision = self._revision
        try:
            async with asyncio.timeout(timeout_s), self._saved:
                await self._saved.wait_for(
                    lambda: self._saved_revision >= revision
                )
        except TimeoutError:
            return False
        return True

    async def _save(self, revision: int) -> None:
        data, rewrites = self._encode(), self._rewrites
        try:
            await self._store.put(_TOPIC, self._key, data)
        except StoreError as exc:
            self._on_failure(str(exc))
            await _pause_before_retry()
            return
        if rewrites != self._rewrites:
            return
        async with self._saved:
            self._saved_revision = revision
            self._saved.notify_all()


async def read_records(
    store: KeyedStore, on_failure: Callable[[str], None]
) -> dict[str, bytes]:
    """
    Return the records of all daemons by key, once the store answers.

    :param on_failure: called with the cause of each failed attempt.
    """
    while True:
        try:
            return (await store.newest(_TOPIC)).values
        except StoreError as exc:
            on_failure(str(exc))
        await _pause_before_retry()


async def _pause_before_retry() -> None:
    await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))
