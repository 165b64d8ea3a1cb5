"""Departures of processes, heard and unheard."""

from __future__ import annotations

import asyncio
import time

import pytest

from burdockgap.forward.departures import Departures
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
    departures = Departures()
    departures.merge(earlier.encode())
    await asyncio.sleep(0.005)
    info = make_info(born=now_ms())
    assert not departures.includes(info)
    await asyncio.sleep(0.005)
    revision = departures.revision
    departures.note_unheard("i-1")
    assert departures.revision > revision
    assert departures.includes(info)


async def test_departures_are_read_back():
    earlier = Departures()
    earlier.note("i-1", 1000)
    earlier.note_unheard("i-2")
    departures = Departures()
    departures.merge(earlier.encode())
    assert departures.includes(make_info(target_id="i-1", born=1000))
    assert not departures.includes(make_info(target_id="i-1", born=1001))
    assert departures.includes(make_info(target_id="i-2", born=1000))


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
    departures = Departures()
    with pytest.raises(ValueError, match="malformed"):
        departures.merge(data)
    assert departures.is_empty
