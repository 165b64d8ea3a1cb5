"""The HTTP endpoints of a stand-in target."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import anyio

from standins.target_grants import boottime
from standins.target_run import TargetRun
from standins.target_work import NotRunError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins.target_work import TargetWork

    Scope = dict[str, Any]
    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

_CONTROL_PREFIX = "/_burdockgap/"
_CANCEL_WAIT_S = 0.2
_MS_PER_S = 1000
_DECLARED_LENGTH_BYTES = 1_000_000


class TargetApp:
    """
    The ASGI application of the stand-in target.

    :param name: the target's name, echoed in its responses.
    :param boot_id: unique id of this process.
    :param work: runs the requests.
    :ivar leaving: whether the status reports a shutdown in progress.
    :ivar drained: set when the daemon has drained the target.
    """

    def __init__(self, *, name: str, boot_id: str, work: TargetWork) -> None:
        self.leaving = False
        self.drained = anyio.Event()
        self._name = name
        self._boot_id = boot_id
        self._work = work
        self._last_run_number = 0
        self._load_samples: deque[tuple[float, int]] = deque(maxlen=10_000)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        if scope["path"].startswith(_CONTROL_PREFIX):
            await self._control(scope, body, send)
        else:
            await self._run_request(scope, body, send)

    async def _control(self, scope: Scope, body: bytes, send: Send) -> None:
        name = scope["path"].removeprefix(_CONTROL_PREFIX)
        handlers = {
            ("GET", "status"): self._status,
            ("GET", "history"): self._history,
            ("POST", "grant"): self._grant,
            ("POST", "drain"): self._drain,
            ("POST", "cancel"): self._cancel,
            ("POST", "fault"): self._fault,
        }
        handler = handlers.get((scope["method"], name))
        if handler is None:
            await _send_json(send, 404, {"error": "unknown endpoint"})
            return
        fields = json.loads(body) if body else {}
        status, payload = await handler(fields)
        await _send_json(send, status, payload)

    async def _status(self, _: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        return 200, {
            "boot_id": self._boot_id,
            "healthy": True,
            "load": self._reported_load(),
            "leaving": self.leaving,
        }

    def _reported_load(self) -> int:
        faults = self._work.faults
        if faults.lie_load is not None:
            return faults.lie_load
        now = boottime()
        self._load_samples.append((now, self._work.running))
        load = self._work.running
        for sampled_at, running in self._load_samples:
            if sampled_at <= now - faults.lag_s:
                load = running
        return load

    async def _history(self, _: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        return 200, {
            "boot_id": self._boot_id,
            "overloaded": self._work.overloaded,
            "most_running": self._work.most_running,
            "runs": [run.to_json() for run in self._work.runs],
        }

    async def _grant(
        self, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        epochs = fields["epochs"]
        applied = self._work.grants.apply_grant(
            session_id=fields["session_id"],
            epochs=None
            if epochs is None
            else {int(unit): epoch for unit, epoch in epochs.items()},
            expires_at=min(
                boottime() + fields["lease_s"], fields["expires_at"]
            ),
        )
        return (200, {}) if applied else (409, {"error": "old epoch"})

    async def _drain(self, _: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.drained.set()
        return 200, {}

    async def _cancel(
        self, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        ended = await self._work.cancel(fields["request_id"], _CANCEL_WAIT_S)
        return 200, {"ended": ended}

    async def _fault(
        self, fields: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if fields.pop("cold", False):
            self._work.reset_warmup()
        try:
            self._work.faults.update(fields)
        except KeyError as exc:
            return 400, {"error": f"unknown fault {exc}"}
        return 200, {}

    async def _run_request(
        self, scope: Scope, body: bytes, send: Send
    ) -> None:
        run = self._new_run(scope)
        query = parse_qs(scope["query_string"].decode())
        try:
            with self._work.admitted(run), run.scope:
                await self._work.perform(run)
                await self._reply(run, body, query, send)
        except NotRunError as exc:
            await _send_not_run(send, str(exc))
            return
        if run.scope.cancelled_caught:
            await _send_json(send, 499, {"error": "cancelled"})

    def _new_run(self, scope: Scope) -> TargetRun:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self._last_run_number += 1
        unit = headers.get("burdockgap-unit")
        deadline_ms = headers.get("burdockgap-deadline-at-ms")
        return TargetRun(
            number=self._last_run_number,
            request_id=headers.get("burdockgap-request-id", ""),
            unit=None if unit is None else int(unit),
            epoch=int(headers.get("burdockgap-epoch", "0")),
            key=headers.get("burdockgap-key", ""),
            path=scope["path"],
            deadline_at=None
            if deadline_ms is None
            else int(deadline_ms) / _MS_PER_S,
        )

    async def _reply(
        self,
        run: TargetRun,
        body: bytes,
        query: dict[str, list[str]],
        send: Send,
    ) -> None:
        if self._work.faults.truncate > 0:
            self._work.faults.truncate -= 1
            await _send_truncated(send)
        if run.path == "/export":
            await _send_export(query, send)
            return
        echo = {
            "target": self._name,
            "boot_id": self._boot_id,
            "request_id": run.request_id,
            "unit": run.unit,
            "epoch": run.epoch,
            "key": run.key,
            "body_length": len(body),
            "number": run.number,
        }
        await _send_json(send, 200, echo)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Receive) -> bytes | None:
    parts = []
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return None
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def _start_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def _send_chunk(send: Send, body: bytes, *, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _send_json(send: Send, status: int, payload: dict[str, Any]) -> None:
    body = json.dumps(payload).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await _start_response(send, status, headers)
    await _send_chunk(send, body, more=False)


async def _send_not_run(send: Send, detail: str) -> None:
    headers = [(b"burdockgap-not-run", b"1"), (b"content-length", b"0")]
    headers.append((b"burdockgap-detail", detail.encode()))
    await _start_response(send, 503, headers)
    await _send_chunk(send, b"", more=False)


async def _send_truncated(send: Send) -> None:
    length = str(_DECLARED_LENGTH_BYTES).encode()
    await _start_response(send, 200, [(b"content-length", length)])
    await _send_chunk(send, b"cut", more=True)
    raise ConnectionAbortedError("response truncated by a fault")


async def _send_export(query: dict[str, list[str]], send: Send) -> None:
    chunks = int(query.get("chunks", ["10"])[0])
    size = int(query.get("size", ["1000"])[0])
    delay_s = int(query.get("delay_ms", ["0"])[0]) / _MS_PER_S
    await _start_response(
        send, 200, [(b"content-type", b"application/octet-stream")]
    )
    for index in range(chunks):
        await _send_chunk(send, bytes([index % 256]) * size, more=True)
        await anyio.sleep(delay_s)
    await _send_chunk(send, b"", more=False)
