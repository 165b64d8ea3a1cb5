from __future__ import annotations

import socket
import threading
from contextlib import asynccontextmanager
from urllib.parse import urlsplit

import anyio
import httpx
import pytest

from burdockgap.clock import BootClock
from burdockgap.config.parse import parse_document
from burdockgap.fold.folds import Folds
from burdockgap.http.app import CallerApp
from burdockgap.http.request_parser import RequestParser
from burdockgap.http.shedder import Shedder
from burdockgap.metrics import Metrics
from burdockgap.router.route_reply import RouteReply
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.admin.server import serve_in_thread

DOCUMENT = """
[services.records]
keyed = true
path_prefix = "/records"
[services.dispatch]
"""
TRUNCATED = Refusal(Verdict.MAY_HAVE_RUN, Reason.TRUNCATED, "ended early")


class FakeRouter:
    """Answers every request with the same chunks or refusal."""

    def __init__(self) -> None:
        self.chunks = [b"whole"]
        self.end = None
        self.refusal = None
        self.requests = []
        self.cancelled = threading.Event()
        self.body_ended = threading.Event()

    @asynccontextmanager
    async def route(self, req):
        self.requests.append(req)
        if self.refusal is not None:
            raise self.refusal
        try:
            if req.path == "/slow":
                await anyio.sleep(5)
            yield RouteReply(
                status=200,
                headers=[],
                body=self._body(),
                owner="records-1",
                owner_address="127.0.0.1:1",
            )
        except anyio.get_cancelled_exc_class():
            self.cancelled.set()
            raise

    async def _body(self):
        try:
            for chunk in self.chunks:
                yield chunk
        finally:
            self.body_ended.set()
        if self.end is not None:
            raise self.end


@pytest.fixture
def router():
    return FakeRouter()


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def shedder():
    return Shedder(clock=BootClock())


@pytest.fixture
def url(router, metrics, shedder):
    folds = Folds()
    folds.config.document = parse_document(DOCUMENT).unwrap()
    clock = BootClock()
    app = CallerApp(
        parser=RequestParser(folds=folds, clock=clock),
        router=router,
        clock=clock,
        metrics=metrics,
        shedder=shedder,
        idle_timeout_s=0.5,
    )
    with serve_in_thread(app) as url:
        yield url


def connect(url, path):
    parts = urlsplit(url)
    conn = socket.create_connection((parts.hostname, parts.port), timeout=3)
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\nBurdockgap-Service: dispatch"
    conn.sendall(head.encode() + b"\r\n\r\n")
    return conn


def read_all(conn):
    data = b""
    while part := conn.recv(65536):
        data += part
    return data


def test_response_names_verdict_and_owner(url):
    reply = httpx.get(f"{url}/records/a", headers={"Burdockgap-Key": "k"})
    assert reply.text == "whole"
    assert reply.headers["burdockgap-verdict"] == "ran"
    assert reply.headers["burdockgap-owner"] == "records-1"


def test_truncated_response_has_no_final_chunk(url, router):
    router.end = TRUNCATED
    with connect(url, "/x") as conn:
        data = read_all(conn)
    assert b"whole" in data
    assert b"0\r\n\r\n" not in data


def test_disconnect_cancels_request(url, router):
    connect(url, "/slow").close()
    assert router.cancelled.wait(timeout=3)


@pytest.mark.parametrize(
    ("verdict", "reason", "status"),
    [
        pytest.param(Verdict.NOT_RUN, Reason.QUEUE_FULL, 429, id="overloaded"),
        pytest.param(Verdict.NOT_RUN, Reason.NO_OWNER, 503, id="no-owner"),
        pytest.param(
            Verdict.MAY_HAVE_RUN, Reason.DEADLINE, 504, id="deadline"
        ),
        pytest.param(
            Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, 502, id="lost"
        ),
    ],
)
def test_refusal_sets_status_and_headers(url, router, verdict, reason, status):
    router.refusal = Refusal(verdict, reason, "why")
    reply = httpx.get(url, headers={"Burdockgap-Service": "dispatch"})
    assert reply.status_code == status
    assert reply.headers["burdockgap-verdict"] == verdict.value
    assert reply.headers["burdockgap-reason"] == reason.value


@pytest.mark.parametrize(
    ("headers", "status", "reason"),
    [
        pytest.param({}, 404, "unknown-service", id="no-service"),
        pytest.param(
            {"Burdockgap-Service": "nil"},
            404,
            "unknown-service",
            id="unknown-service",
        ),
        pytest.param(
            {"Burdockgap-Service": "records"},
            400,
            "missing-key",
            id="missing-key",
        ),
        pytest.param(
            {
                "Burdockgap-Service": "dispatch",
                "Burdockgap-Idempotent": "maybe",
            },
            400,
            "bad-request",
            id="bad-marking",
        ),
        pytest.param(
            {
                "Burdockgap-Service": "dispatch",
                "Burdockgap-Timeout-Ms": "-1",
            },
            400,
            "bad-request",
            id="bad-timeout",
        ),
        pytest.param(
            {
                "Burdockgap-Service": "dispatch",
                "Burdockgap-Request-Id": "x" * 200,
            },
            400,
            "bad-request",
            id="long-request-id",
        ),
    ],
)
def test_bad_request_is_refused(url, router, headers, status, reason):
    reply = httpx.get(f"{url}/other", headers=headers)
    assert reply.status_code == status
    assert reply.headers["burdockgap-reason"] == reason
    assert reply.headers["burdockgap-verdict"] == "not-run"
    assert router.requests == []


def test_request_without_header_is_not_idempotent(url, router):
    httpx.get(url, headers={"Burdockgap-Service": "dispatch"})
    assert not router.requests[0].idempotent


def test_overloaded_daemon_refuses_requests(url, router, shedder):
    shedder.share = 1.0
    reply = httpx.get(f"{url}/x", headers={"Burdockgap-Service": "dispatch"})
    assert reply.status_code == 503
    assert reply.headers["burdockgap-verdict"] == "not-run"
    assert reply.headers["burdockgap-reason"] == "overloaded"
    assert not router.requests


def test_caller_that_reads_nothing_times_out(url, router):
    """A stalled caller would otherwise occupy the target's slot."""
    router.chunks = [bytes(1_000_000)] * 50
    conn = connect(url, "/big")
    assert router.body_ended.wait(3)
    conn.close()


def test_caller_that_stops_sending_times_out(url):
    parts = urlsplit(url)
    conn = socket.create_connection((parts.hostname, parts.port), timeout=3)
    conn.sendall(
        b"POST /x HTTP/1.1\r\nHost: x\r\nBurdockgap-Service: dispatch\r\n"
        b"Content-Length: 9\r\n\r\nabc"
    )
    answer = conn.recv(4096)
    conn.close()
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"burdockgap-verdict: not-run" in answer
