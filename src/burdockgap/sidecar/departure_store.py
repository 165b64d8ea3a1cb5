"""Keeps this machine's departures in the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.metadata.store_error import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.departures import Departures
    from burdockgap.metadata.keyed_store import KeyedStore

_TOPIC = "keyed.burdockgap-departures"
_RETRY_DELAY_S = 0.3


class DepartureStore:
    """
    Writes departures to the store and reads those of an earlier run.

    A departure that was acknowledged holds after a restart of this
    daemon, and after the loss of all daemons at once.

    :param store: the platform's store.
    :param name: name of this daemon, the key of its departures.
    :param departures: the departures.
    :param knows_peers: returns whether other daemons are heard, which
        tell what they know of the target with each call.
    :param on_event: logs an event with its fields.
    :param on_read: called when the departures of an earlier run were
        read, or peers have to do in their place.
    :ivar loaded: whether that was called.
    """

    __slots__ = (
        "_changed",
        "_departures",
        "_knows_peers",
        "_name",
        "_on_event",
        "_on_read",
        "_rewrites",
        "_saved",
        "_saved_revision",
        "_store",
        "loaded",
    )

    def __init__(
        self,
        *,
        store: KeyedStore,
        name: str,
        departures: Departures,
        knows_peers: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
        on_read: Callable[[], None],
    ) -> None:
        self._store = store
        self._name = name
        self._departures = departures
        self._knows_peers = knows_peers
        self._on_event = on_event
        self._on_read = on_read
        self._changed = asyncio.Event()
        self._saved = asyncio.Condition()
        self._saved_revision = 0
        self._rewrites = 0
        self.loaded = False
        departures.on_change = self._changed.set

    async def run(self) -> None:
        """Read earlier departures once, then write each change."""
        await self._load()
        while True:
            self._changed.clear()
            revision = self._departures.revision
            if self._saved_revision < revision:
                await self._save(revision)
            else:
                await self._changed.wait()

    async def wait_until_saved(self, timeout_s: float) -> bool:
        """
        Wait until the store has all departures noted so far.

        :param timeout_s: longest wait, in seconds.
        :return: whether it has them.
        """
        revision = self._departures.revision
        try:
            async with asyncio.timeout(timeout_s), self._saved:
                await self._saved.wait_for(
                    lambda: self._saved_revision >= revision
                )
        except TimeoutError:
            return False
        return True

    def write_again(self) -> None:
        """Write all departures again after the store has lost some."""
        if self._departures.is_empty:
            return
        self._saved_revision = -1
        self._rewrites += 1
        self._changed.set()

    async def _load(self) -> None:
        while True:
            try:
                newest = await self._store.newest(_TOPIC)
                break
            except StoreError as exc:
                self._on_event("departures_unread", {"why": str(exc)})
            if self._knows_peers() and not self.loaded:
                # Their notices, which come with each call, have to do.
                self._set_loaded()
            await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))
        stored = newest.values.get(self._name)
        if stored:
            try:
                self._departures.merge(stored)
            except ValueError as exc:
                self._on_event("departures_unread", {"why": str(exc)})
        self._set_loaded()

    def _set_loaded(self) -> None:
        self.loaded = True
        self._on_read()

    async def _save(self, revision: int) -> None:
        data, rewrites = self._departures.encode(), self._rewrites
        try:
            await self._store.put(_TOPIC, self._name, data)
        except StoreError as exc:
            self._on_event("departures_unwritten", {"why": str(exc)})
            await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))
            return
        if rewrites != self._rewrites:
            return
        async with self._saved:
            self._saved_revision = revision
            self._saved.notify_all()
