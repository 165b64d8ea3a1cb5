from __future__ import annotations

import json
import signal
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import httpx
import pytest

from tests.target_process import running_target


class Admin(ThreadingHTTPServer):
    """Accepts announcements, except for the first (status 503)."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), AdminHandler)
        self.calls = []
        self.accepted = threading.Event()
        self.left = threading.Event()
        self.url = f"http://127.0.0.1:{self.server_port}"


class AdminHandler(BaseHTTPRequestHandler):
    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        token = self.headers["Authorization"]
        self.server.calls.append((self.path, token, json.loads(body)))
        is_first = len(self.server.calls) == 1
        self.send_response(503 if is_first else 200)
        self.send_header("Content-Length", "0")
        self.end_headers()
        if not is_first:
            self.server.accepted.set()
        if self.path.endswith("/leaving"):
            self.server.left.set()

    def log_message(self, *_args: object):
        pass


@pytest.fixture
def admin():
    with Admin() as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield server
        server.shutdown()
        thread.join()


def test_leave_completes_requests_in_flight(admin):
    """
    A graceful stop completes the requests in flight.

    Guards against a target that ends on SIGTERM before it has answered
    a running request. Covers points 8 and 9.
    """
    args = ("--announce", admin.url, "--token", "t", "--service-ms", "600")
    with running_target(*args) as process:
        assert admin.accepted.wait(5)
        replies = []
        call = threading.Thread(
            target=lambda: replies.append(httpx.get(f"{process.url}/work"))
        )
        call.start()
        while not process.history()["runs"]:
            pass
        process.signal(signal.SIGTERM)
        assert admin.left.wait(5)
        assert process.call("GET", "status")["leaving"]
        process.call("POST", "drain")
        assert process.process.wait(5) == 0
        call.join()
        assert replies[0].status_code == 200
        paths = [path for path, _, _ in admin.calls]
        assert paths == [
            "/v1/target/announce",
            "/v1/target/announce",
            "/v1/target/leaving",
        ]
        _, token, fields = admin.calls[0]
        assert token == "Bearer t"
        assert fields["url"] == process.url
        assert fields["checks_grants"] is True
