"""
Bad input to a running daemon.

Each input is refused or ignored and counted, and the daemons keep
serving without a traceback in their logs.
"""

from __future__ import annotations

import os
import random
import socket
import struct
import time

import anyio
import httpx
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from prometheus_client.parser import text_string_to_metric_families

from burdockgap.lease.messages.renew import Renew
from burdockgap.peer.auth import PeerAuth
from burdockgap.peer.messages.forward_head import ForwardHead
from burdockgap.peer.method import FORWARD_PATH, FORWARD_REPLY, PING, PULL
from burdockgap.wire import pack, unpack
from burdockgap.wire.seal import Sealer
from standins.cluster.server import HTTP_PORT, PEER_PORT, SECRET, TOKEN

KEY = {"Burdockgap-Key": "pump-1"}
COUNT_TIMEOUT_S = 5
RANDOM = random.Random(7)


class _RawCodec(CodecBase):
    __content_subtype__ = "burdockgap"

    def encode(self, message, _message_type):
        return message

    def decode(self, data, _message_type):
        return data


def _count(server, name, **labels):
    text = httpx.get(f"{server.admin_url}/metrics").text
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name and labels.items() <= sample.labels.items()
    )


@pytest.fixture
def counter(server):
    """Return a function that reads a counter and returns a waiter."""
    before = {}

    def start(name, **labels):
        before[name] = _count(server, name, **labels)

        def wait(least=1):
            deadline = time.monotonic() + COUNT_TIMEOUT_S
            risen = 0
            while risen < least and time.monotonic() < deadline:
                time.sleep(0.05)
                risen = _count(server, name, **labels) - before[name]
            assert risen >= least, (name, labels, risen)

        return wait

    return start


@pytest.fixture(autouse=True)
def still_serving(site, server):
    """Check that requests are served and no traceback was logged."""
    daemons = [each.daemon for each in site.servers.values()]
    logged = [len(daemon.text()) for daemon in daemons]
    yield
    resp = httpx.post(f"{server.url}/records/pump-1", headers=KEY)
    assert resp.status_code == 200
    for daemon, start in zip(daemons, logged, strict=True):
        assert daemon.is_running
        assert "Traceback" not in daemon.text()[start:]


def _exchange(server, port, data, *, close=False):
    """Send bytes over TCP and return the first data received."""
    with socket.create_connection((server.ip, port), timeout=5) as conn:
        conn.sendall(data)
        if close:
            return b""
        conn.settimeout(2)
        try:
            return conn.recv(65536)
        except (TimeoutError, ConnectionResetError):
            return b""


@pytest.mark.parametrize(
    ("path", "headers", "status", "reason"),
    [
        pytest.param("/nothing", {}, 404, "unknown-service", id="path"),
        pytest.param(
            "/x",
            {"Burdockgap-Service": "nothing"},
            404,
            "unknown-service",
            id="service",
        ),
        pytest.param("/records/1", {}, 400, "missing-key", id="key"),
        pytest.param(
            "/records/1",
            {**KEY, "Burdockgap-Timeout-Ms": "soon"},
            400,
            "bad-request",
            id="timeout",
        ),
        pytest.param(
            "/records/1",
            {**KEY, "Burdockgap-Idempotent": "perhaps"},
            400,
            "bad-request",
            id="idempotent",
        ),
        pytest.param(
            "/records/1",
            {**KEY, "Burdockgap-Request-Id": "x" * 200},
            400,
            "bad-request",
            id="request-id",
        ),
    ],
)
def test_request_is_refused(server, counter, path, headers, status, reason):
    wait_for_rise = counter("burdockgap_requests_total", reason=reason)
    resp = httpx.post(server.url + path, headers=headers)
    assert (resp.status_code, resp.headers["burdockgap-reason"]) == (
        status,
        reason,
    )
    assert resp.headers["burdockgap-verdict"] == "not-run"
    wait_for_rise()


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        pytest.param({"service": "dispatch"}, 409, id="other-service"),
        pytest.param({"cold_slots": 9}, 400, id="cold-slots"),
        pytest.param({"url": "nonsense"}, 400, id="url"),
        pytest.param({"slots": "six"}, 400, id="slots"),
    ],
)
def test_bad_announcement_is_refused(server, changes, status):
    fields = {
        "service": "records",
        "url": server.target_url,
        "boot_id": "b",
        "slots": 6,
        "cold_slots": 1,
        "checks_grants": True,
    }
    resp = httpx.post(
        f"{server.admin_url}/v1/target/announce",
        headers={"Authorization": f"Bearer {TOKEN}"},
        json={**fields, **changes},
    )
    assert resp.status_code == status
    assert resp.json()["error"]


def test_oversized_head_is_refused(server, counter):
    wait_for_rise = counter("burdockgap_bad_requests_total", listener="http")
    head = b"POST /records/1 HTTP/1.1\r\nhost: x\r\nburdockgap-key: "
    answer = _exchange(server, HTTP_PORT, head + b"k" * 200_000)
    assert answer.split(b" ", 2)[1][:1] == b"4"
    wait_for_rise()


def test_garbage_on_http_is_refused(server, counter):
    wait_for_rise = counter("burdockgap_bad_requests_total", listener="http")
    answer = _exchange(server, HTTP_PORT, b"\x00\xff nonsense\r\n\r\n")
    assert answer.split(b" ", 2)[1] == b"400"
    wait_for_rise()


def test_truncated_body_is_counted(server, counter):
    wait_for_rise = counter("burdockgap_callers_gone_total")
    head = b"POST /records/1 HTTP/1.1\r\nhost: x\r\nburdockgap-key: pump-1\r\n"
    data = head + b"content-length: 100\r\n\r\nabc"
    _exchange(server, HTTP_PORT, data, close=True)
    wait_for_rise()


def _renew():
    return Renew(
        session_id=RANDOM.getrandbits(62),
        witness_incarnation=RANDOM.getrandbits(62),
        seq=1,
        config_offset=0,
        control_offset=0,
    )


def _datagrams(kind):
    sealer = Sealer(SECRET.encode())
    if kind == "random":
        return [RANDOM.randbytes(size) for size in range(200)]
    if kind == "other-secret":
        return [Sealer(b"another secret").seal(pack(_renew()))] * 20
    if kind == "no-message":
        return [sealer.seal(RANDOM.randbytes(size)) for size in range(200)]
    return [sealer.seal(pack(_renew()))] * 20


@pytest.mark.parametrize(
    ("kind", "cause", "least"),
    [
        ("random", "seal", 200),
        ("other-secret", "seal", 20),
        ("no-message", "decode", 200),
        ("replayed", "renew-witness", 20),
    ],
)
def test_datagrams_are_ignored(server, counter, kind, cause, least):
    wait_for_rise = counter("burdockgap_lease_ignored_total", cause=cause)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for datagram in _datagrams(kind):
            sock.sendto(datagram, (server.ip, PEER_PORT))
    wait_for_rise(least)


def test_garbage_on_the_peer_port_is_counted(server, counter):
    wait_for_rise = counter("burdockgap_peer_calls_rejected_total")
    for size in (1, 24, 500):
        _exchange(server, PEER_PORT, RANDOM.randbytes(size) + b"\r\n" * 20)
    wait_for_rise()


async def _call(server, path, data, metadata):
    channel = Channel(server.ip, PEER_PORT, codec=_RawCodec())
    try:
        method = UnaryUnaryMethod(channel, path, bytes, bytes)
        with anyio.fail_after(5):
            await method(data, metadata=metadata)
    finally:
        channel.close()


@pytest.mark.parametrize(
    ("path", "data", "has_proof", "status"),
    [
        pytest.param(
            PING.path, b"", False, Status.UNAUTHENTICATED, id="no-proof"
        ),
        pytest.param(
            FORWARD_PATH, b"", False, Status.UNAUTHENTICATED, id="forward"
        ),
        pytest.param(
            PULL.path, b"\xff" * 9, True, Status.INVALID_ARGUMENT, id="bytes"
        ),
        pytest.param(
            FORWARD_PATH, b"\xc1", True, Status.INVALID_ARGUMENT, id="head"
        ),
    ],
)
def test_peer_call_is_refused(server, counter, path, data, has_proof, status):
    wait_for_rise = counter("burdockgap_peer_calls_rejected_total")
    metadata = PeerAuth(SECRET.encode()).metadata() if has_proof else {}
    with pytest.raises(GRPCError) as caught:
        anyio.run(_call, server, path, data, metadata)
    assert caught.value.status is status
    wait_for_rise()


async def _forward_with_bad_body(server):
    head = ForwardHead(
        request_id="r1",
        service="dispatch",
        method="POST",
        path="/x",
        headers=[],
        key_hash=None,
        idempotent=False,
        timeout_s=2.0,
        fingerprint=RANDOM.getrandbits(60),
    )
    channel = Channel(server.ip, PEER_PORT, codec=_RawCodec())
    try:
        async with channel.request(
            FORWARD_PATH,
            Cardinality.STREAM_STREAM,
            bytes,
            bytes,
            metadata=PeerAuth(SECRET.encode()).metadata(),
        ) as stream:
            await stream.send_message(pack(head))
            await stream.send_message(b"\xc1", end=True)
            with anyio.fail_after(5):
                return unpack(await stream.recv_message(), FORWARD_REPLY)
    finally:
        channel.close()


def test_undecodable_body_of_a_forwarded_request(site):
    dispatch = site.servers["dispatch-1"]
    name = "burdockgap_gate_refusals_total"
    before = _count(dispatch, name, reason="bad-request")
    refusal = anyio.run(_forward_with_bad_body, dispatch)
    assert (refusal.verdict, refusal.reason) == ("not-run", "bad-request")
    assert _count(dispatch, name, reason="bad-request") == before + 1


@pytest.mark.parametrize("stream", ["config", "control"])
def test_garbage_in_the_log_is_skipped(site, counter, stream):
    wait_for_rise = counter(
        "burdockgap_fold_undecodable_records_total", stream=stream
    )
    garbage = [b"", b"\xc1", os.urandom(300), struct.pack(">Q", 1) * 4]
    for data in garbage:
        httpx.post(f"{site.log_url}/streams/{stream}", content=data)
    wait_for_rise(3)
