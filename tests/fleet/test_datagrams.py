"""Datagrams of other daemons, also malformed ones."""

from __future__ import annotations

import asyncio
import socket

import msgpack
import pytest

from burdockgap.fleet.datagrams import BEACON, SUSPECTS, open_datagrams
from tests.http1.sockets import HOST
from tests.ports import free_port

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xc1", id="no-msgpack"),
        pytest.param(b"\xdd\xff\xff\xff\xff", id="long-list"),
        pytest.param(b"\x91" * 5000, id="nested"),
        pytest.param(msgpack.packb({"a": 1}), id="map"),
        pytest.param(b"\x91\x91\x01", id="kind-not-hashable"),
        pytest.param(msgpack.packb([77, 1]), id="unknown-kind"),
        pytest.param(msgpack.packb([SUSPECTS]), id="no-values"),
        pytest.param(msgpack.packb([SUSPECTS, 5]), id="wrong-type"),
    ],
)
async def test_malformed_datagram_is_counted_and_the_next_one_read(data):
    received, errors = [], []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: errors.append(context)
    )
    port = free_port()
    async with open_datagrams(HOST, port) as datagrams:
        datagrams.handlers[BEACON] = received.append
        datagrams.handlers[SUSPECTS] = lambda values: values[0].items()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, (HOST, port))
            sock.sendto(msgpack.packb([BEACON, 1]), (HOST, port))
        async with asyncio.timeout(1):
            while not received:
                await asyncio.sleep(0.01)
        assert datagrams.bad == 1
    assert received == [[1]]
    assert not errors
