"""The operators' documents in the store of a soak run."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from soak.store_copy import StoreCopy
from standins.sidecar.documents import (
    make_config,
    make_limits,
    make_route,
    make_service,
)

if TYPE_CHECKING:
    from standins.sidecar.keyed_topics import KeyedTopics

_TOPIC = "keyed.op"
_ROUTES = 6
"""Number of the newest versions whose routes are kept."""


class Operators:
    """
    Write configurations and evacuations, again if the store loses them.

    What is written again was acknowledged at its first time, so it
    doesn't change the times below.

    :param store: the store of the site.
    :ivar version: the newest version of the configuration.
    :ivar changed_at: time of the last configuration change.
    :ivar evacuated_at: start of the evacuation by data centre.
    """

    def __init__(self, store: KeyedTopics) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._documents: list[tuple[str, bytes]] = []
        self._unwritten: list[int] = []
        self.version = 0
        self.changed_at = -math.inf
        self.evacuated_at: dict[str, float] = {}

    def change_configuration(self) -> None:
        """Publish the next version, which adds one route."""
        self.version += 1
        first = max(self.version - _ROUTES + 1, 1)
        routes = [
            make_route(f"v{number}", "dispatch")
            for number in range(first, self.version + 1)
        ]
        config = make_config(
            make_route("read", "records"),
            make_route("book", "dispatch", kind="unsafe"),
            make_route("crew", "dispatch"),
            *routes,
            make_service("records", sharding=True),
            make_service("dispatch"),
            make_limits(),
            version=f"{self.version:08x}",
        )
        self._write("config", config)
        self.changed_at = self._loop.time()

    def begin_evacuation(self, data_centre: str) -> None:
        """Request the evacuation of a data centre."""
        self._write(f"evacuate/{data_centre}", b"{}")
        self.evacuated_at.setdefault(data_centre, self._loop.time())

    def end_evacuation(self, data_centre: str) -> None:
        """Withdraw the evacuation of a data centre."""
        self.evacuated_at.pop(data_centre, None)
        self._write(f"evacuate/{data_centre}", b"")

    def copy_store(self) -> StoreCopy:
        """Take a copy of the store."""
        return StoreCopy(self._store.copy(), self._count_written())

    def restore_store(self, copy: StoreCopy, *, only_newest: bool) -> None:
        """
        Let the store return to a copy and note what is to write again.

        :param copy: may have been taken before an earlier return.
        :param only_newest: whether only the newest version of each lost
            document is written again.
        """
        lost = range(copy.document_count, len(self._documents))
        if only_newest:
            newest = {self._documents[index][0]: index for index in lost}
            self._unwritten = sorted(newest.values())
        else:
            self._unwritten = list(lost)
        self._store.restore(copy.topics)

    async def write_again(self, seconds: float) -> None:
        """
        Write the lost documents in order, then those asked for since.

        :param seconds: how long it takes.
        """
        lost = len(self._unwritten)
        for _ in range(lost):
            await asyncio.sleep(seconds / lost)
            self._write_next()
        while self._unwritten:
            self._write_next()

    def _count_written(self) -> int:
        if self._unwritten:
            return self._unwritten[0]
        return len(self._documents)

    def _write(self, key: str, value: bytes) -> None:
        self._unwritten.append(len(self._documents))
        self._documents.append((key, value))
        if len(self._unwritten) == 1:
            self._write_next()

    def _write_next(self) -> None:
        key, value = self._documents[self._unwritten.pop(0)]
        self._store.put(_TOPIC, key, value)
