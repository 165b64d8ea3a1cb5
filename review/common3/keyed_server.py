"""A stand-in for a server that holds keys, as in PROTOCOL.md."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from review.common3.app_server import AppServer
from review.common3.web import Message, encode_response

if TYPE_CHECKING:
    from review.common3.record import Record


class Hold:
    """
    One hold of a range of keys, from its grant to its end.

    Times are on the monotonic clock.

    :param server: the server's id.
    :param first: first key.
    :param last: last key.
    :param fence: the fencing token.
    :param began: when it was granted.
    :param until: when it runs out; a renewal moves it.
    """

    __slots__ = ("began", "fence", "first", "last", "server", "until")

    def __init__(
        self,
        server: str,
        first: int,
        last: int,
        fence: int,
        began: float,
        until: float,
    ) -> None:
        self.server = server
        self.first = first
        self.last = last
        self.fence = fence
        self.began = began
        self.until = until


class Holds:
    """
    All holds of all servers.

    :ivar all: the holds, oldest first.
    :ivar accepted: each accepted grant, renewals included, as time,
        server, first key, last key and fencing token.
    """

    def __init__(self) -> None:
        self.all: list[Hold] = []
        self.accepted: list[tuple[float, str, int, int, int]] = []

    def current(self, server: str) -> list[Hold]:
        """Return the holds of a server that have not run out."""
        now = time.monotonic()
        return [
            hold
            for hold in self.all
            if hold.server == server and hold.until > now
        ]

    def longest_overlap(self) -> tuple[float, Hold, Hold] | None:
        """Return the longest time in which two servers held a key."""
        worst: tuple[float, Hold, Hold] | None = None
        for index, one in enumerate(self.all):
            for other in self.all[index + 1 :]:
                if (
                    one.server == other.server
                    or one.first > other.last
                    or other.first > one.last
                ):
                    continue
                both_s = min(one.until, other.until) - max(
                    one.began, other.began
                )
                if both_s > 0 and (worst is None or both_s > worst[0]):
                    worst = (both_s, one, other)
        return worst


class KeyedServer(AppServer):
    """
    A server that takes grants and releases of ranges of keys.

    :param holds: receives its holds.
    """

    def __init__(
        self,
        name: str,
        *,
        service: str,
        host: str,
        port: int,
        control: tuple[str, int],
        zone: str,
        record: Record,
        holds: Holds,
    ) -> None:
        super().__init__(
            name,
            service=service,
            host=host,
            port=port,
            control=control,
            zone=zone,
            record=record,
        )
        self.holds = holds

    async def crash(self) -> None:
        """End at once; what it held is held no longer."""
        now = time.monotonic()
        for hold in self.holds.current(self.name):
            hold.until = now
        await super().crash()

    async def _answer(self, req: Message) -> bytes | None:
        if req.start[1] == "/api/grant":
            return self._grant(json.loads(req.body))
        if req.start[1] == "/api/release":
            return await self._release(json.loads(req.body))
        key = req.headers.get("shard-key")
        if key is not None and not self._holds_key(int(key)):
            headers = {
                "Attempt-Id": req.headers.get("attempt-id", ""),
                "Not-Executed": "1",
            }
            return encode_response(421, headers)
        return await super()._answer(req)

    def _holds_key(self, key: int) -> bool:
        return any(
            hold.first <= key <= hold.last
            for hold in self.holds.current(self.name)
        )

    def _grant(self, body: dict[str, object]) -> bytes:
        first, last = int(str(body["from"])), int(str(body["to"]))
        fence = int(str(body["fence"]))
        now = time.monotonic()
        hold_s = int(str(body["hold_time"]).removesuffix("ms")) / 1000
        seen = [
            hold
            for hold in self.holds.all
            if hold.server == self.name
            and hold.first <= last
            and first <= hold.last
        ]
        if any(hold.fence > fence for hold in seen):
            return encode_response(409, {})
        self.holds.accepted.append((now, self.name, first, last, fence))
        for hold in seen:
            is_same = (hold.first, hold.last, hold.fence) == (
                first,
                last,
                fence,
            )
            if is_same and hold.until > now:
                hold.until = now + hold_s
                return encode_response(200, {})
        for hold in seen:
            self._cut(hold, first, last, now)
        self.holds.all.append(
            Hold(self.name, first, last, fence, now, now + hold_s)
        )
        self.record.write(
            "granted",
            server=self.name,
            first=first,
            last=last,
            fence=fence,
            hold_s=hold_s,
        )
        return encode_response(200, {})

    def _cut(self, hold: Hold, first: int, last: int, now: float) -> None:
        """End the part of a hold that lies in a range."""
        if hold.until <= now:
            return
        for low, high in (
            (hold.first, first - 1),
            (last + 1, hold.last),
        ):
            if low <= high:
                self.holds.all.append(
                    Hold(
                        hold.server,
                        low,
                        high,
                        hold.fence,
                        hold.began,
                        hold.until,
                    )
                )
        hold.until = now

    async def _release(self, body: dict[str, object]) -> bytes:
        first, last = int(str(body["from"])), int(str(body["to"]))
        now = time.monotonic()
        for hold in self.holds.current(self.name):
            if hold.first <= last and first <= hold.last:
                self._cut(hold, first, last, now)
        self.record.write("released", server=self.name, first=first, last=last)
        # The work that is running on these keys takes less than this.
        await asyncio.sleep(0.05)
        return encode_response(200, {"Handover": f"h{first}-{last}"})
