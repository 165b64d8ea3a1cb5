from __future__ import annotations

import anyio
import pytest

from burdockgap.http.caller_body import CallerBody
from burdockgap.http.caller_gone import CallerGone
from burdockgap.verdict import Refusal, Verdict


def event(body=b"", *, more=True):
    return {"type": "http.request", "body": body, "more_body": more}


def make_body(events):
    sender, receiver = anyio.create_memory_object_stream(10)
    for asgi_event in events:
        sender.send_nowait(asgi_event)
    return CallerBody(receiver.receive, 0.2), sender


async def read_all(body):
    return b"".join([chunk async for chunk in body])


def test_cancelled_read_loses_no_chunk():
    async def run():
        body, sender = make_body([event(b"a")])
        with anyio.move_on_after(0.05):
            await read_all(body)
        sender.send_nowait(event(b"b"))
        sender.send_nowait(event(b"c", more=False))
        assert await read_all(body) == b"bc"
        assert await read_all(body) == b""

    anyio.run(run)


def test_disconnect_is_raised_again():
    async def run():
        body, _ = make_body([event(b"a"), {"type": "http.disconnect"}])
        with pytest.raises(CallerGone):
            await read_all(body)
        with pytest.raises((CallerGone, Refusal)):
            await read_all(body)

    anyio.run(run)


def test_idle_caller_is_refused():
    async def run():
        body, _ = make_body([event(b"a")])
        with pytest.raises(Refusal) as caught:
            await read_all(body)
        assert caught.value.verdict is Verdict.NOT_RUN

    anyio.run(run)
