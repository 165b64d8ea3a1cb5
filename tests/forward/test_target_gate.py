"""Admission control in front of the target."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.gate.fingerprint import fingerprint_of
from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.server import Server, open_server
from burdockgap.verdict import Reason, Verdict
from standins.sidecar.app_server import AppServer
from tests.forward.builders import GateHarness, make_call
from tests.http1.sockets import HOST, open_scripted_server, read_head
from tests.ports import free_port
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def harness():
    """Open a gate with a target that runs requests."""
    app = AppServer("i-1")
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        harness = GateHarness()
        harness.app = app
        harness.info = {"address": (HOST, port)}
        harness.state.announced(make_info(**harness.info))
        yield harness


async def test_call_runs(harness):
    outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is Verdict.RAN
    assert outcome.response.body == b"answer to x"
    assert harness.app.requests[0].header("expected-instance") == "i-1"


async def test_id_of_another_accounts_request_gives_no_response(harness):
    """Guards one account's responses against clients of another."""
    calls = [make_call(account=name, body=name.encode()) for name in "aba"]
    bodies = [(await harness.gate.serve(call)).response.body for call in calls]
    assert bodies == [b"answer to a", b"answer to b", b"answer to a"]
    assert len(harness.app.requests) == 2


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        pytest.param(
            lambda harness: harness.state.announced(
                make_info(**harness.info, sequence=2, draining=True)
            ),
            Reason.DRAINING,
            id="draining",
        ),
        pytest.param(
            lambda harness: harness.state.leaving("i-1"),
            Reason.DRAINING,
            id="left",
        ),
        pytest.param(
            lambda harness: setattr(harness.gate, "leaving", True),
            Reason.DRAINING,
            id="daemon-stops",
        ),
        pytest.param(
            lambda harness: setattr(harness, "out_since", 0.0),
            Reason.DATA_CENTRE_OUT,
            id="data-centre-out",
        ),
        pytest.param(
            lambda harness: harness.state.refused_connection(1000),
            Reason.TARGET_DOWN,
            id="down",
        ),
    ],
)
async def test_call_refused_as_not_run(harness, change, reason):
    change(harness)
    outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is reason
    assert not harness.app.runs


# DRAIN: a request that waited for its connection was sent although the
# server had left meanwhile.
async def test_server_that_leaves_during_the_connect_gets_no_request(
    harness, monkeypatch
):
    connect = ClientPool._connect

    async def connect_while_the_server_leaves(pool):
        conn = await connect(pool)
        harness.state.leaving("i-1")
        return conn

    monkeypatch.setattr(
        ClientPool, "_connect", connect_while_the_server_leaves
    )
    outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is Reason.DRAINING
    assert not harness.app.runs


# BUDGET: copies of a request that waited in the queue were sent though
# others of them had crashed two servers meanwhile.
async def test_queued_request_that_crashes_servers_is_not_sent(harness):
    harness.app.work_s = 0.1
    slots = harness.state.info.slots
    running = [
        asyncio.create_task(
            harness.gate.serve(make_call(request_id=f"r{number}"))
        )
        for number in range(slots)
    ]
    await asyncio.sleep(0.02)
    call = make_call(request_id="crash", target="/book/crash")
    queued = asyncio.create_task(harness.gate.serve(call))
    await asyncio.sleep(0.02)
    fingerprint = fingerprint_of(call.method, call.target, call.body)
    for crash in ("m1/1", "m2/1"):
        harness.suspects.crashed(call.service, crash, [fingerprint])
    outcome = await queued
    await asyncio.gather(*running)
    assert outcome.reason is Reason.QUARANTINED
    assert len(harness.app.runs) == slots


async def test_other_service_is_refused(harness):
    outcome = await harness.gate.serve(make_call(service="records"))
    assert outcome.reason is Reason.UNKNOWN_SERVICE


async def test_other_instance_at_the_address_runs_nothing(harness):
    harness.app.target_id = "i-2"
    outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is Reason.TARGET_SHED


async def test_deadline_passes_while_running(harness):
    harness.app.work_s = 1.0
    outcome = await harness.gate.serve(make_call(deadline_s=0.05))
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.DEADLINE


async def test_cold_target_is_rate_limited(harness):
    harness.state.announced(make_info(**harness.info, sequence=2, cold_s=5.0))
    loop = asyncio.get_running_loop()
    began = loop.time()
    ran = 0
    while loop.time() - began < 0.5:
        call = make_call(request_id=f"r{loop.time()}")
        outcome = await harness.gate.serve(call)
        ran += outcome.verdict is Verdict.RAN
    assert 0 < ran <= 20.0 * 0.5 + 3


async def test_cold_target_without_configuration_gets_nothing(harness):
    harness.cold_rate = None
    harness.state.announced(make_info(**harness.info, sequence=2, cold_s=5.0))
    outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is Verdict.NOT_RUN


async def test_lost_connection_may_have_run():
    async def script(reader, _writer):
        await read_head(reader)

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        outcome = await harness.gate.serve(make_call())
        assert outcome.verdict is Verdict.MAY_HAVE_RUN
        assert outcome.reason is Reason.CONNECTION_LOST


async def test_cancelled_call_frees_its_slot(harness):
    harness.app.work_s = 1.0
    calls = [
        asyncio.create_task(harness.gate.serve(make_call(request_id=f"r{n}")))
        for n in range(4)
    ]
    await asyncio.sleep(0.05)
    assert harness.gate.in_flight == 4
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    await asyncio.sleep(0.01)
    assert harness.gate.in_flight == 0


async def test_large_response_is_refused_while_the_uplink_is_backlogged():
    harness = GateHarness()
    harness.state.announced(make_info())
    harness.uplink.count(int(125e6))
    call = make_call(large=True, idempotent=True, patience_s=0.2)
    outcome = await harness.gate.serve(call)
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is Reason.OVERLOADED
    assert outcome.load.uplink_s > 1.0


async def test_key_is_refused_while_no_holder_of_keys_is_known():
    """As after a start, before the first configuration arrives."""
    harness = GateHarness()
    harness.state.announced(make_info())
    outcome = await harness.gate.serve(make_call(key=5))
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is Reason.ACTIVATING


@pytest.mark.parametrize(
    ("framing", "verdict"),
    [
        pytest.param(b"content-length: 2\r\n", Verdict.RAN, id="length"),
        pytest.param(b"", Verdict.MAY_HAVE_RUN, id="ends-at-close"),
    ],
)
async def test_success_counts_only_if_its_end_is_marked(framing, verdict):
    """A body that ends with the connection may have broken off."""

    async def script(reader, writer):
        await read_head(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n"
            + framing
            + b"\r\nok"
        )

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is verdict


async def test_response_without_end_may_have_run():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n\r\n"
        )
        try:
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()
        except OSError:
            pass

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        outcome = await harness.gate.serve(make_call(deadline_s=5.0))
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.CONNECTION_LOST
    (fields,) = [
        fields
        for event, fields in harness.events
        if event == "exchange_failed"
    ]
    assert "memory limit" in fields["detail"]


REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n%snot-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nattempt-id: r2\r\nserver-seal: s\r\n"
    b"content-length: 2\r\n\r\nok"
)


# REFUSED, TWICE: a server wrote an earlier refusal once more on a kept
# connection, and a request that it ran counted as not run.
@pytest.mark.parametrize(
    "header",
    [
        pytest.param(b"attempt-id: r1\r\n", id="with-its-id"),
        pytest.param(b"", id="without-id"),
    ],
)
async def test_refusal_written_once_more_is_skipped(header):
    async def script(reader, writer):
        await read_head(reader)
        await reader.readexactly(1)
        writer.write(REFUSAL % b"attempt-id: r1\r\n")
        await read_head(reader)
        writer.write(REFUSAL % header)
        await asyncio.sleep(0.05)
        writer.write(ANSWER)
        await asyncio.sleep(1)

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        refused = await harness.gate.serve(make_call(request_id="r1"))
        outcome = await harness.gate.serve(make_call(request_id="r2"))
    assert refused.verdict is Verdict.NOT_RUN
    assert outcome.verdict is Verdict.RAN
    assert outcome.response.body == b"ok"


async def test_refusal_without_id_on_a_new_connection_counts():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(REFUSAL % b"")
        await asyncio.sleep(1)

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        outcome = await harness.gate.serve(make_call())
    assert outcome.verdict is Verdict.NOT_RUN


REJECTION = (
    b"HTTP/1.1 503 Full\r\nattempt-id: r1\r\nnot-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)
SUCCESS = (
    b"HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n"
    b"content-length: 2\r\n\r\nok"
)


# TWICE, REFUSED: the late second copy of a rejection was taken for the
# answer to the repeat of the same request on that connection, which the
# target ran. It was run again, or its caller was told that it had not.
async def test_repeat_is_not_answered_by_a_copy_of_the_first_response():
    received = []

    async def script(reader, writer):
        is_first_connection = not received
        received.append(await read_head(reader))
        if not is_first_connection:
            writer.write(SUCCESS)
            return
        writer.write(REJECTION)
        received.append(await read_head(reader))
        writer.write(REJECTION + SUCCESS)

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address[:2]))
        first = await harness.gate.serve(make_call(idempotent=True))
        assert first.verdict is Verdict.NOT_RUN
        repeat = await harness.gate.serve(
            make_call(idempotent=True, attempt=2)
        )
        assert repeat.verdict is Verdict.RAN
        assert repeat.response.body == b"ok"


# TWICE, REFUSED: the second copy of a rejection came on another
# connection of the target, where the repeat of the request was running.
async def test_rejected_request_that_may_run_once_is_not_sent_again():
    heads = []

    async def script(reader, writer):
        while True:
            is_repeat = bool(heads)
            heads.append(await read_head(reader))
            await reader.readexactly(1)
            writer.write(REJECTION)
            if is_repeat:
                writer.write(SUCCESS)

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address[:2]))
        first = await harness.gate.serve(make_call())
        repeat = await harness.gate.serve(make_call(attempt=2))
    assert first.verdict is Verdict.NOT_RUN
    assert repeat.verdict is Verdict.NOT_RUN
    assert len(heads) == 1


# LOST: a call of another machine that may run once was begun, though
# the daemon beside the target ended before it.
@pytest.mark.parametrize(
    ("idempotent", "verdict"),
    [(False, Verdict.NOT_RUN), (True, Verdict.RAN)],
)
async def test_call_that_may_outlast_the_process(harness, idempotent, verdict):
    harness.gate.ends_at = asyncio.get_running_loop().time() + 0.5
    call = make_call(deadline_s=1.0, idempotent=idempotent)
    outcome = await harness.gate.serve(call)
    assert outcome.verdict is verdict
    call = make_call(request_id="r2", deadline_s=0.4)
    assert (await harness.gate.serve(call)).verdict is Verdict.RAN


# QUEUE: calls made by running requests were refused behind two waiting
# new requests, after half of their objective at the latest.
async def test_nested_call_waits_longer_than_a_new_request_may(harness):
    harness.app.work_s = 0.3
    running = [
        asyncio.create_task(harness.gate.serve(make_call(request_id=f"r{n}")))
        for n in range(4)
    ]
    await asyncio.sleep(0.05)
    with harness.gate.running.nested("r1.1") as nested:
        assert nested
    new = await harness.gate.serve(
        make_call(request_id="new", objective_s=0.02)
    )
    assert new.reason is Reason.QUEUE_TIMEOUT
    assert new.retry_after_s >= 0.1
    call = make_call(request_id="r1.1", nested=True, objective_s=0.02)
    outcome = await harness.gate.serve(call)
    assert outcome.verdict is Verdict.RAN
    assert outcome.waited_s > 0.1
    await asyncio.gather(*running)
    with harness.gate.running.nested("r1.1") as nested:
        assert not nested


async def test_repeat_of_a_cancelled_request_gets_an_outcome():
    """
    Guards a client that gives up and repeats its request under one id.

    The cancelled run cancelled whoever waited for its outcome: the
    repeat got no response at all, and its connection stayed open.
    """
    release = asyncio.Event()

    async def script(reader, _writer):
        await read_head(reader)
        await release.wait()

    async with open_scripted_server(script) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        first = asyncio.create_task(harness.gate.serve(make_call()))
        await asyncio.sleep(0.05)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        repeat = asyncio.create_task(harness.gate.serve(make_call()))
        await asyncio.wait({repeat}, timeout=2)
        release.set()
    assert repeat.done()
    assert not repeat.cancelled()
    assert repeat.result().verdict is Verdict.MAY_HAVE_RUN
