"""A stand-in for a server whose service is divided by key."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from review.common2.app_server import AppServer
from review.common2.web import Message, Reply

if TYPE_CHECKING:
    from collections.abc import Iterator

_KEYS = 65536
_MAX_SHARED_S = 0.5
_SAMPLE_S = 0.02


class Hold:
    """
    Keys that a server holds.

    :param first: the first key.
    :param last: the last key.
    :param fence: the fencing token.
    :param until: when the hold runs out, on the monotonic clock.
    """

    __slots__ = ("fence", "first", "last", "until")

    def __init__(
        self, first: int, last: int, fence: int, until: float
    ) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.until = until

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether it has keys of a range."""
        return self.first <= last and first <= self.last


class KeyedServer(AppServer):
    """
    A server that runs requests only for keys that it holds.

    :ivar holds: what it holds or held.
    :ivar working: keys on which it is at work.
    """

    holds: list[Hold]
    working: list[int]

    async def start(self) -> None:
        """Start a new incarnation, which holds nothing."""
        self.holds, self.working = [], []
        await super().start()

    def held(self) -> list[Hold]:
        """Return what it holds now."""
        now = time.monotonic()
        if not self.is_up:
            return []
        return [hold for hold in self.holds if hold.until > now]

    def may_run(self, req: Message) -> bool:
        """Return whether it holds the key of a request."""
        key = int(req.headers.get("shard-key", "-1"))
        return any(hold.overlaps(key, key) for hold in self.held())

    @contextmanager
    def at_work(self, req: Message) -> Iterator[None]:
        """Note the key while its request is running."""
        key, working = int(req.headers["shard-key"]), self.working
        working.append(key)
        try:
            yield
        finally:
            working.remove(key)

    async def keys_call(self, req: Message) -> Reply:
        """Answer a grant or a release."""
        body = json.loads(req.body)
        first, last, fence = body["from"], body["to"], body["fence"]
        if req.target == "/api/release":
            return await self._release(first, last, fence)
        hold_s = int(body["hold_time"].removesuffix("ms")) / 1000
        if any(
            hold.overlaps(first, last) and hold.fence > fence
            for hold in self.holds
        ):
            return Reply(409)
        is_new = not any(
            hold.first <= first and last <= hold.last for hold in self.held()
        )
        until = time.monotonic() + hold_s
        self._remove(first, last)
        self.holds.append(Hold(first, last, fence, until))
        if is_new:
            self.record.write(
                "granted",
                server=self.instance_id,
                first=first,
                last=last,
                fence=fence,
                hold_s=hold_s,
            )
        return Reply(200)

    async def _release(self, first: int, last: int, fence: int) -> Reply:
        self._remove(first, last)
        working = self.working
        while any(first <= key <= last for key in working):
            await asyncio.sleep(0.005)
        self.record.write(
            "released",
            server=self.instance_id,
            first=first,
            last=last,
            fence=fence,
        )
        return Reply(200, {"Handover": f"{first:x}-{last:x}-{fence:x}"})

    def _remove(self, first: int, last: int) -> None:
        """Remove keys from what it holds, but not their tokens."""
        rows: list[Hold] = []
        for hold in self.holds:
            if not hold.overlaps(first, last):
                rows.append(hold)
                continue
            if hold.first < first:
                rows.append(
                    Hold(hold.first, first - 1, hold.fence, hold.until)
                )
            if hold.last > last:
                rows.append(Hold(last + 1, hold.last, hold.fence, hold.until))
            low, high = max(first, hold.first), min(last, hold.last)
            rows.append(Hold(low, high, hold.fence, 0.0))
        self.holds = [hold for hold in rows if hold.until > 0.0] + [
            hold for hold in rows if hold.until == 0.0
        ][-64:]


class OwnerCheck:
    """
    Checks that no two servers hold the same keys.

    :param servers: the servers of the service.
    :ivar broken: what broke the rule.
    """

    def __init__(self, servers: list[KeyedServer]) -> None:
        self._servers = servers
        self._shared_since: dict[tuple[str, str], float] = {}
        self._known: dict[str, list[Hold]] = {}
        self.broken: list[str] = []

    async def run(self) -> None:
        """Look at all servers again and again until cancelled."""
        while True:
            for one, other in itertools.permutations(self._servers, 2):
                self._check_work(one, other)
            for one, other in itertools.combinations(self._servers, 2):
                self._check_shared(one, other)
            await asyncio.sleep(_SAMPLE_S)

    def _check_work(self, one: KeyedServer, other: KeyedServer) -> None:
        """Check that no keys were given away while in work."""
        for key in set(one.working):
            if not one.is_up or not _holds(one, key):
                continue
            if _holds(other, key):
                self._note(
                    f"key {key}: {one.instance_id} is at work on it and "
                    f"holds it, {other.instance_id} was given it"
                )

    def _check_shared(self, one: KeyedServer, other: KeyedServer) -> None:
        pair, now = (one.instance_id, other.instance_id), time.monotonic()
        is_shared = any(
            hold.overlaps(third.first, third.last)
            for hold in one.held()
            for third in other.held()
        )
        if not is_shared:
            self._shared_since.pop(pair, None)
            return
        since = self._shared_since.setdefault(pair, now)
        if now - since > _MAX_SHARED_S:
            self._note(f"{pair[0]} and {pair[1]} hold keys for over 0.5 s")

    def _note(self, what: str) -> None:
        if what not in self.broken:
            self.broken.append(what)
            self._servers[0].record.write("broken", what=what)


def _holds(server: KeyedServer, key: int) -> bool:
    return any(hold.overlaps(key, key) for hold in server.held())


def all_held(servers: list[KeyedServer]) -> bool:
    """Return whether every key is held by some server."""
    rows = sorted(
        (hold.first, hold.last) for server in servers for hold in server.held()
    )
    key = 0
    for first, last in rows:
        if first > key:
            return False
        key = max(key, last + 1)
    return key >= _KEYS
