from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import httpx
import pytest

ROOT = Path(__file__).parents[2]


class LogServer:
    """The stand-in of the platform's log, run as a separate process."""

    def __init__(self, process, port):
        self._process = process
        self.url = f"http://127.0.0.1:{port}"

    def control(self, **settings):
        reply = httpx.post(f"{self.url}/control", json=settings)
        reply.raise_for_status()

    def stats(self):
        return httpx.get(f"{self.url}/control/stats").json()

    def suspend(self):
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        self._process.send_signal(signal.SIGCONT)


@pytest.fixture(scope="module")
def server_process():
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.platform_log", "--port", "0"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": "src:."},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        port = int(process.stdout.readline().split()[1])
        yield LogServer(process, port)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.fixture
def server(server_process):
    yield server_process
    server_process.resume()
    server_process.control(down=False, delay_s=0, lose_replies=0)
