"""A load of keyed requests at a constant rate."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.history.request_outcome import RequestOutcome
from standins.target_grants import boottime

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from standins.cluster import Server

_CLIENT_MARGIN_S = 1.0
_TIMEOUT_S = 3.0
_MS_PER_S = 1000
_CONNECTIONS = 400


class Load:
    """
    Sends keyed requests and records their outcomes.

    :param service: the service, whose name is also its path prefix.
    :param keys: the keys, used in turn.
    :param rate: requests per second.
    :param idempotent: whether the requests are marked as idempotent.
    :param entry_servers: returns the servers whose daemons may receive
        requests at present.
    :param rng: chooses a server for each request.
    :param label: prefix of the request ids.
    :ivar answers: the outcomes of the requests.
    :ivar stopping: set by the caller to end the load.
    :ivar ended: set when all requests have their outcome.
    """

    __slots__ = (
        "_client",
        "_entry_servers",
        "_idempotent",
        "_label",
        "_numbers",
        "_rate",
        "_rng",
        "_service",
        "answers",
        "ended",
        "keys",
        "stopping",
    )

    def __init__(
        self,
        *,
        service: str,
        keys: Sequence[str],
        rate: float,
        idempotent: bool,
        entry_servers: Callable[[], list[Server]],
        rng: random.Random,
        label: str,
    ) -> None:
        self.keys = keys
        self.answers: list[RequestOutcome] = []
        self.stopping = anyio.Event()
        self.ended = anyio.Event()
        self._service = service
        self._rate = rate
        self._idempotent = idempotent
        self._entry_servers = entry_servers
        self._rng = rng
        self._label = label
        self._numbers = itertools.count(1)
        self._client = httpx.AsyncClient(
            timeout=_TIMEOUT_S + _CLIENT_MARGIN_S,
            trust_env=False,
            limits=httpx.Limits(max_connections=_CONNECTIONS),
        )

    async def run(self) -> None:
        """Send until ``stopping`` is set, then await all outcomes."""
        async with anyio.create_task_group() as tasks:
            started = boottime()
            for count in itertools.count():
                wait_s = started + count / self._rate - boottime()
                with anyio.move_on_after(max(wait_s, 0)):
                    await self.stopping.wait()
                if self.stopping.is_set():
                    break
                key = self.keys[count % len(self.keys)]
                tasks.start_soon(self.send, key, self._idempotent)
        self.ended.set()

    async def send(
        self,
        key: str,
        idempotent: bool,
        *,
        entry_servers: Sequence[Server] = (),
        timeout_s: float = _TIMEOUT_S,
    ) -> RequestOutcome:
        """
        Send one request and record its outcome.

        :param entry_servers: servers to choose from; if empty, those of
            the load.
        """
        server = self._rng.choice(entry_servers or self._entry_servers())
        request_id = f"{self._label}-{next(self._numbers)}"
        headers = {
            "Burdockgap-Key": key,
            "Burdockgap-Request-Id": request_id,
            "Burdockgap-Idempotent": str(idempotent).lower(),
            "Burdockgap-Timeout-Ms": str(int(timeout_s * _MS_PER_S)),
        }
        sent = boottime()
        answer = await self._post(server, headers)
        outcome = RequestOutcome(
            request_id=request_id,
            key=key,
            idempotent=idempotent,
            sent=sent,
            answered=boottime(),
            **answer,
        )
        self.answers.append(outcome)
        return outcome

    async def _post(
        self, server: Server, headers: dict[str, str]
    ) -> dict[str, Any]:
        url = f"{server.url}/{self._service}"
        try:
            reply = await self._client.post(url, headers=headers, content=b"x")
        except httpx.HTTPError as exc:
            return _no_answer(f"via {server.name}: {exc!r}")
        return _answer(reply, server.name)


def _no_answer(detail: str) -> dict[str, Any]:
    return {
        "verdict": "",
        "status": 0,
        "echo": "",
        "whole": False,
        "detail": detail,
    }


def _answer(reply: httpx.Response, entry: str) -> dict[str, Any]:
    ok = reply.status_code == 200
    body = reply.json() if ok else {}
    return {
        "verdict": reply.headers.get("burdockgap-verdict", ""),
        "status": reply.status_code,
        "echo": body.get("request_id", ""),
        "whole": body.get("body_length") == 1,
        "detail": "" if ok else f"via {entry}: {reply.text.strip()}",
    }
