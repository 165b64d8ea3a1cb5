"""Processor time of requests through sidecar daemons."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.server import Server, open_server
from measure.usage import cpu_seconds, read_usage
from standins.sidecar.app_server import AppServer
from standins.sidecar.documents import make_site_config
from standins.sidecar.keyed_topics import KeyedTopics
from standins.sidecar.settings_file import make_settings_text

if TYPE_CHECKING:
    from burdockgap.http1.request import Request
    from burdockgap.http1.response import Response
    from measure.recorder import Recorder

_REQUESTS = 4000
_WARM_UP_REQUESTS = 400
_CONCURRENCY = 4
_ANSWER_BYTES = 1500
_SETTLE_S = 4.0
_ANNOUNCE_INTERVAL_S = 0.87
_HOSTS = ("127.0.0.2", "127.0.0.3")


class _Site:
    """A topic store, two app servers and a sidecar daemon for each."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.pids: list[int] = []

    async def start(self, folder: Path) -> None:
        store = KeyedTopics()
        store.put("keyed.op", "config", make_site_config())
        await self._listen(store.answer, "127.0.0.1", 8309)
        for index, host in enumerate(_HOSTS):
            service = ("records", "dispatch")[index]
            app = _LargeAnswers(f"i-{index}", keyed=service == "records")
            await self._listen(app.answer, host, 8301)
            path = folder / f"m{index}.toml"
            path.write_text(
                make_settings_text(
                    name=f"m{index}",
                    host=host,
                    service=service,
                    store="127.0.0.1:8309",
                )
            )
            await self._start_daemon(path)
            announcing = asyncio.create_task(
                _announce_until_cancelled(app, host, service)
            )
            self._stack.callback(announcing.cancel)

    async def _listen(self, handler: object, host: str, port: int) -> None:
        server = Server(handler)  # type: ignore[arg-type]
        await self._stack.enter_async_context(open_server(server, host, port))

    async def _start_daemon(self, path: Path) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burdockgap",
            "sidecar",
            "--settings",
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.pids.append(process.pid)
        self._stack.push_async_callback(process.wait)
        self._stack.callback(os.kill, process.pid, signal.SIGTERM)


class _LargeAnswers(AppServer):
    """Answers reads with a body of 1.5 KB."""

    async def answer(self, req: Request) -> Response:
        response = await super().answer(req)
        if response.is_success and req.path.startswith("/read/"):
            response.body = b"x" * _ANSWER_BYTES
        return response


async def _announce_until_cancelled(
    app: AppServer, host: str, service: str
) -> None:
    app.work_s = 0.0
    pool = ClientPool((host, 8306), connect_timeout_s=1.0, idle_s=5.0)
    sequence = 0
    while True:
        sequence += 1
        body = app.announcement(
            address=f"{host}:8301", service=service, sequence=sequence
        )
        path = f"/api/instances/{app.target_id}"
        headers = [("host", host)]
        data = encode_request("PUT", path, headers, body)
        # The daemon may not be listening yet; the loop retries.
        with suppress(ExchangeError):
            await pool.exchange(data)
        await asyncio.sleep(_ANNOUNCE_INTERVAL_S)


async def measure_sidecar(recorder: Recorder) -> None:
    """Record requests at the owner's daemon and with one hop."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = _Site(stack)
        await site.start(Path(folder))
        await asyncio.sleep(_SETTLE_S)
        for step, host in zip(("owner", "hop"), _HOSTS, strict=True):
            await _send(host, _WARM_UP_REQUESTS)
            before = [cpu_seconds(pid) for pid in site.pids]
            started = time.monotonic()
            await _send(host, _REQUESTS)
            took_s = time.monotonic() - started
            spent = [cpu_seconds(pid) for pid in site.pids]
            cpu_s = sum(spent) - sum(before)
            recorder.add(
                step,
                requests=_REQUESTS,
                cpu_ms_per_request=cpu_s * 1000 / _REQUESTS,
                took_s=took_s,
                memory_mb=read_usage(site.pids[0]).pss_bytes / 1e6,
            )


async def _send(host: str, count: int) -> None:
    pool = ClientPool((host, 8304), connect_timeout_s=1.0, idle_s=5.0)
    request_numbers = iter(range(count))

    async def send_from_queue() -> None:
        for number in request_numbers:
            headers = [
                ("Host", "a.example"),
                ("Attempt-Id", f"{host}-{count}-{number}"),
                ("Deadline-Milliseconds", "900"),
                ("Shard-Key", str(number * 16 % 65536)),
            ]
            response = await pool.exchange(
                encode_request("GET", "/read/1", headers)
            )
            if response.status != 200:
                raise RuntimeError(
                    f"expected status 200, got {response.status}"
                )

    async with asyncio.TaskGroup() as tasks:
        for _ in range(_CONCURRENCY):
            tasks.create_task(send_from_queue())
    pool.close()
