"""Builders of a site of daemon processes, and what is read of them."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import subprocess
import sys
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.server import Server, open_server
from standins.sidecar.app_server import AppServer
from standins.sidecar.documents import (
    make_config,
    make_limits,
    make_route,
    make_service,
)
from standins.sidecar.keyed_topics import KeyedTopics
from standins.sidecar.settings_file import make_settings_text

CALLERS_PORT = 8304
_STORE_PORT = 8309
_APP_PORT = 8301
_CONTROL_PORT = 8306
_READY_PORT = 8302
_READY_TIMEOUT_S = 10.0
_ASK_TIMEOUT_S = 6.0
_BYTES_PER_KB = 1024
_BYTES_PER_MB = 1_000_000


class Daemon:
    """A daemon process and the server beside it."""

    def __init__(self, net, index, service, folder, memory_mb, descriptors):
        self.host = f"{net}.0.{index}"
        self.callers = (self.host, CALLERS_PORT)
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.service = service
        self.app = AppServer(f"i-{index}")
        self.app_address = (f"{net}.2.{index}", _APP_PORT)
        self.output = folder / f"daemon-{index}.log"
        self._settings = folder / f"daemon-{index}.toml"
        text = make_settings_text(
            name=f"daemon-{index}",
            host=self.host,
            service=service,
            store=f"{net}.3.1:{_STORE_PORT}",
        )
        self._settings.write_text(
            text.replace(
                "memory-mb = 200",
                f"memory-mb = {memory_mb}\nfile-descriptors = {descriptors}",
            )
        )
        self._popen = None

    def start(self):
        with self.output.open("wb") as output:
            self._popen = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "burdockgap",
                    "sidecar",
                    "--settings",
                    str(self._settings),
                ],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def end(self):
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    @property
    def is_running(self):
        return self._popen.poll() is None

    @property
    def peak_mb(self):
        """Largest resident size so far (VmHWM), in MB of 10^6 bytes."""
        status = Path(f"/proc/{self._popen.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * _BYTES_PER_KB / _BYTES_PER_MB
        raise AssertionError("no VmHWM in the status of the process")

    @property
    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self._popen.pid}/fd"))

    async def send_heartbeats(self):
        pool = ClientPool(
            (self.host, _CONTROL_PORT), connect_timeout_s=0.5, idle_s=5.0
        )
        sequence = 0
        host, port = self.app_address
        while True:
            sequence += 1
            data = encode_request(
                "PUT",
                f"/api/instances/{self.app.target_id}",
                [("host", "control")],
                self.app.announcement(
                    address=f"{host}:{port}",
                    service=self.service,
                    sequence=sequence,
                ),
            )
            with suppress(ExchangeError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await pool.exchange(data)
            await asyncio.sleep(0.5)

    async def is_ready(self):
        pool = ClientPool(
            (self.host, _READY_PORT), connect_timeout_s=0.5, idle_s=1.0
        )
        data = encode_request("GET", "/api/readiness", [("Host", "ready")])
        try:
            async with asyncio.timeout(1.0):
                return (await pool.exchange(data)).status == 200
        except (ExchangeError, TimeoutError):
            return False
        finally:
            pool.close()

    async def ask(self, path):
        """
        Send an ordinary request; return the status of the last answer.

        A refusal is followed by another attempt at the time that it
        names, as clients do; 0 means no answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _ASK_TIMEOUT_S
        status = 0
        while status != 200 and loop.time() < deadline:
            pause_s = 0.1
            pool = ClientPool(self.callers, connect_timeout_s=1.0, idle_s=1.0)
            with suppress(ExchangeError, TimeoutError):
                async with asyncio.timeout_at(deadline):
                    response = await pool.exchange(
                        make_request(path, deadline_ms=2000)
                    )
                    status = response.status
                    pause_s = float(response.header("retry-after") or 0.1)
            pool.close()
            if status != 200:
                await asyncio.sleep(pause_s)
        return status


def make_request(path, *, method="GET", deadline_ms=9000, headers=()):
    """Return an encoded request with an id of its own and no body."""
    return encode_request(
        method,
        path,
        [
            ("Host", "a.example"),
            ("Attempt-Id", f"r{random.getrandbits(60):x}"),
            ("Deadline-Milliseconds", str(deadline_ms)),
            *headers,
        ],
    )


def _free_net():
    """Return the first two octets of addresses that are not in use."""
    for octet in random.sample(range(32, 224), 50):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{octet}.3.1", _STORE_PORT))
            except OSError:
                continue
        return f"127.{octet}"
    raise RuntimeError("no free loopback addresses")


@asynccontextmanager
async def open_daemons(folder, *, memory_mb, descriptors=4100):
    """
    Run two daemons, ``dispatch`` and ``library``, and their servers.

    The routes of ``dispatch`` are /crew/ (safe) and /upload/ (unsafe),
    that of ``library`` is /manual/ (safe). Those with large responses
    are /long/ (``dispatch``) and /manual/.
    """
    net = _free_net()
    store = KeyedTopics()
    long = {"timeout": "9000ms", "target-latency": "9000ms"}
    config = make_config(
        make_route("crew", "dispatch", **long),
        make_route("long", "dispatch", **long),
        make_route("manual", "library", **long),
        make_route("upload", "dispatch", kind="unsafe", **long),
        make_service("dispatch"),
        make_service("library"),
        make_limits(**{"max-body-bytes": 67_108_864}),
    )
    store.put("keyed.op", "config", config)
    daemons = [
        Daemon(net, index, service, folder, memory_mb, descriptors)
        for index, service in enumerate(("dispatch", "library"), start=1)
    ]
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            open_server(Server(store.answer), f"{net}.3.1", _STORE_PORT)
        )
        limits = ConnectionLimits(idle_timeout_s=60.0)
        for daemon in daemons:
            stack.callback(daemon.end)
            await stack.enter_async_context(
                open_server(
                    Server(daemon.app.answer, limits=limits),
                    *daemon.app_address,
                )
            )
            daemon.start()
            heartbeats = asyncio.create_task(daemon.send_heartbeats())
            stack.callback(heartbeats.cancel)
        await _wait_until_ready(daemons)
        yield daemons


async def _wait_until_ready(daemons):
    async with asyncio.timeout(_READY_TIMEOUT_S):
        for daemon in daemons:
            while not await daemon.is_ready():
                await asyncio.sleep(0.1)
        for path in ("/crew/1", "/manual/1"):
            while await daemons[0].ask(path) != 200:
                await asyncio.sleep(0.1)
