"""A store whose responses a test scripts."""

from __future__ import annotations

import asyncio

from burdockgap.metadata.keyed_store import Changes, TopicSnapshot
from burdockgap.metadata.store_generation import StoreGeneration
from burdockgap.platform.documents import PlatformDocuments
from burdockgap.routing.document_follower import DocumentFollower
from burdockgap.routing.documents import Documents
from standins.sidecar.documents import make_site_config


class ScriptedStore:
    """
    A store with one list of documents that delays reads of changes.

    :ivar values: newest value by key.
    :ivar end: offset at which the topic ends.
    :ivar stored_generation: generation that responses name.
    :ivar records: records that a read of changes returns at once.
    :ivar waits: timeout of each read of changes, in seconds.
    :ivar lists: number of lists of all documents.
    :ivar silent_reads: how many of the next reads of changes get no
        answer.
    :ivar closings: how often the idle connections were closed.
    """

    def __init__(self):
        self.generation = StoreGeneration()
        self.values = {"config": make_site_config("00000003")}
        self.end = 1
        self.stored_generation = 1
        self.records = []
        self.waits = []
        self.lists = 0
        self.silent_reads = 0
        self.closings = 0

    def close_idle(self):
        self.closings += 1

    async def newest(self, _topic):
        self.lists += 1
        self.generation.note(self.stored_generation)
        return TopicSnapshot(
            dict(self.values), self.end, self.stored_generation
        )

    async def changes(self, _topic, start, wait_s):
        self.waits.append(wait_s)
        if self.silent_reads:
            self.silent_reads -= 1
            await asyncio.Event().wait()
        if not self.records:
            await asyncio.sleep(wait_s)
        self.generation.note(self.stored_generation)
        return Changes(
            self.records, start + len(self.records), self.stored_generation
        )


class FollowerHarness:
    """
    A follower of a scripted store.

    :ivar is_coordinator: the role that the follower is told.
    """

    def __init__(self):
        self.store = ScriptedStore()
        self.events = []
        self.is_coordinator = False
        self.documents = Documents(
            PlatformDocuments(),
            on_change=lambda: self.follower.refresh(),
            on_event=self._log,
        )
        self.follower = DocumentFollower(
            store=self.store,
            topic="keyed.op",
            documents=self.documents,
            polls_often=lambda: self.is_coordinator,
            on_event=self._log,
        )
        self.store.generation.on_restored = lambda _before, _after: (
            self.follower.refresh()
        )

    def _log(self, event, fields):
        self.events.append((event, fields))

    async def wait_until(self, condition, timeout_s=1.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)
