"""Departures of processes, heard and unheard."""

from __future__ import annotations

import asyncio
import time

import pytest

from burdockgap.forward import departures
from burdockgap.forward.departures import Departures
from tests.forward.builders import GateHarness
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio

MS_PER_S = 1000


@pytest.fixture
def anyio_backend():
    return "asyncio"


def now_ms():
    return int(time.time() * MS_PER_S)


# DRAIN, soak seed 7053: the second departure under an id kept the time
# of the first, so that its process counted as a new one.
async def test_second_unheard_departure_under_an_id_holds():
    earlier = Departures()
    earlier.note_unheard("i-1")
    later = Departures()
    later.merge(earlier.encode())
    await asyncio.sleep(0.005)
    info = make_info(born=now_ms())
    assert not later.includes(info)
    await asyncio.sleep(0.005)
    revision = later.revision
    later.note_unheard("i-1")
    assert later.revision > revision
    assert later.includes(info)


async def test_departures_are_read_back():
    earlier = Departures()
    earlier.note("i-1", 1000)
    earlier.note_unheard("i-2")
    later = Departures()
    later.merge(earlier.encode())
    assert later.includes(make_info(target_id="i-1", born=1000))
    assert not later.includes(make_info(target_id="i-1", born=1001))
    assert later.includes(make_info(target_id="i-2", born=1000))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\xc1", id="no-msgpack"),
        pytest.param(b"\x01", id="no-list"),
        pytest.param(b"\x91\x93\xa1a\xc0\xc0", id="no-time"),
        pytest.param(b"\x91\x93\x01\x01\xc0", id="id-number"),
        pytest.param(b"\x91\x92\xa1a\x01", id="field-missing"),
    ],
)
async def test_malformed_departures_are_refused(data):
    later = Departures()
    with pytest.raises(ValueError, match="malformed"):
        later.merge(data)
    assert later.is_empty


class ServerUnderOneId:
    """A server that starts anew under its id; its daemon's view."""

    def __init__(self):
        self.state = GateHarness().state
        self.state.announced(make_info(born=now_ms() - 60_000))

    def announce(self, born):
        self.state.announced(make_info(born=born))
        return self.state.takes_work


# DRAIN, soak seed 8045: a server deregistered before its first
# heartbeat, and a late one made its process usable.
async def test_process_that_began_before_the_deregistration_has_left():
    server = ServerUnderOneId()
    born = now_ms()
    await asyncio.sleep(0.005)
    server.state.leaving("i-1")
    assert not server.announce(born)


async def test_process_that_began_after_the_deregistration_is_used():
    server = ServerUnderOneId()
    server.state.leaving("i-1")
    await asyncio.sleep(0.005)
    assert server.announce(now_ms())


# A sound process must not be shut out by a step of its clock.
async def test_later_process_is_used_after_the_clock_was_set_back(
    monkeypatch,
):
    server = ServerUnderOneId()
    server.state.leaving("i-1")
    await asyncio.sleep(0.005)
    monkeypatch.setattr(departures, "_unix_ms", lambda: now_ms() - 2000)
    assert server.announce(now_ms() - 2000)
