"""Tests of the command ``route``."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from burdockgap.cli.exit_code import ExitCode
from burdockgap.run import main

FOUND = {
    "route": "crew",
    "services": [
        {
            "service": "dispatch",
            "choice": "m1",
            "candidates": [
                {
                    "member": "m1",
                    "data_centre": "dc1",
                    "expected_ms": 12.0,
                    "in_flight": 0,
                    "waiting": 0,
                    "slots": 3,
                    "service_ms": 12.0,
                    "load_age_ms": 80,
                    "would": "start",
                }
            ],
        }
    ],
}


@pytest.fixture
def daemon():
    """Serve one explanation; yield the address and the requests."""
    requests = []

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            requests.append((self.path, self.headers.get("Authorization")))
            self.send_response(400 if "bad" in self.path else 200)
            self.end_headers()
            body = {"error": "no"} if "bad" in self.path else FOUND
            self.wfile.write(json.dumps(body).encode())

        def log_request(self, code, size=0):  # noqa: ARG002 - the library's
            return

    server = HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.server_port}", requests
    server.shutdown()
    server.server_close()


def ask(daemon, options=(), path="/crew/1"):
    return main(
        ["route", "--host", "a", "--path", path, "--daemon", daemon, *options]
    )


def test_route_prints_the_choice(daemon, capsys):
    address, requests = daemon
    assert ask(address, ["--key", "7"]) == ExitCode.OK
    assert "choice=m1" in capsys.readouterr().out
    assert requests == [("/route?host=a&path=%2Fcrew%2F1&key=7", None)]


def test_route_as_json(daemon, capsys):
    assert ask(daemon[0], ["--json"]) == ExitCode.OK
    assert json.loads(capsys.readouterr().out) == FOUND


# The key is sent as clients send it, and not printed.
def test_route_with_a_credential(daemon, capsys, tmp_path):
    file = tmp_path / "key"
    file.write_text("k-secret\n")
    address, requests = daemon
    assert ask(address, ["--credential-file", str(file)]) == ExitCode.OK
    assert requests[0][1] == "Bearer k-secret"
    assert "k-secret" not in capsys.readouterr().out


def test_route_with_bad_arguments(daemon, tmp_path):
    assert ask(daemon[0], path="bad") == ExitCode.BAD_INPUT
    missing = str(tmp_path / "missing")
    code = ask(daemon[0], ["--credential-file", missing])
    assert code == ExitCode.BAD_INPUT


def test_route_without_a_daemon():
    assert ask("127.0.0.1:1") == ExitCode.UNREACHABLE
