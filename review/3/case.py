"""Servers reject some requests and repeat some answers late."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
from collections import Counter
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from review.common.garbled_server import GarbledServer
from review.common.play import BROKEN, HELD, NOT_RUN, run_case
from review.common.site import Machine, ask, open_site

if TYPE_CHECKING:
    from review.common.record import Record

_PLAN = [
    (f"sidecar-{zone}-{number}", zone, "records")
    for zone, count in (("mansoura", 5), ("tanta", 5), ("zagazig", 4))
    for number in range(1, count + 1)
]
_DISTURBED = ("sidecar-tanta-1", "sidecar-zagazig-1")
"""A share of 0.14 of the servers."""
_WORK_S = 0.06
_CALM_S = 3.0
_WINDOWS = 11
_WINDOW_S = 6.0
_PAUSE_S = 2.0
_SHED_SHARE = 0.45
_EXTRA_SHARE = 0.03
_WORKERS = 2
_INTERVAL_S = 0.08
_PROMISES = (408, 421, 429, 503)


async def _send_requests(
    machine: Machine, worker: int, record: Record, answers: dict[str, int]
) -> None:
    rng = random.Random(f"{machine.name} {worker}")
    pool = ClientPool(machine.callers, connect_timeout_s=0.5, idle_s=5.0)
    for number in itertools.count():
        request_id = f"{machine.name}-{worker}-{number}"
        answers[request_id] = await ask(
            pool,
            request_id,
            "/entry/x",
            record,
            method="POST",
            key=rng.randrange(65536),
            deadline_ms=1000,
        )
        await asyncio.sleep(_INTERVAL_S * rng.uniform(0.5, 1.5))


async def _disturb(servers: list[GarbledServer], record: Record) -> None:
    for _ in range(_WINDOWS):
        record.write("the servers reject and repeat some")
        for server in servers:
            server.shed_share, server.extra_share = _SHED_SHARE, _EXTRA_SHARE
        await asyncio.sleep(_WINDOW_S)
        for server in servers:
            server.shed_share = server.extra_share = 0.0
        record.write("the servers are sound again")
        await asyncio.sleep(_PAUSE_S)


def _run_twice(runs: Counter[str]) -> list[str]:
    return [
        f"TWICE: {request_id} ran {count} times"
        for request_id, count in runs.items()
        if count > 1
    ]


def _refused_but_run(runs: Counter[str], answers: dict[str, int]) -> list[str]:
    return [
        f"also REFUSED: {request_id} ran and was answered {status}"
        for request_id, status in answers.items()
        if status in _PROMISES and runs[request_id]
    ]


async def _play(record: Record, trouble: bool) -> int:
    answers: dict[str, int] = {}
    async with open_site(
        _PLAN, record, work_s=_WORK_S, server_type=GarbledServer
    ) as site:
        if not await site.wait_until_ready():
            record.result("the site did not become ready")
            return NOT_RUN
        clients = [
            asyncio.create_task(_send_requests(item, worker, record, answers))
            for item in site.machines
            for worker in range(_WORKERS)
        ]
        await asyncio.sleep(_CALM_S)
        servers = [
            item.server
            for item in site.machines
            if item.name in _DISTURBED
            and isinstance(item.server, GarbledServer)
        ]
        if trouble:
            await _disturb(servers, record)
        else:
            await asyncio.sleep(_WINDOWS * (_WINDOW_S + _PAUSE_S))
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await asyncio.sleep(1.0)
        runs = Counter(
            run.request_id
            for item in site.machines
            for run in item.server.runs
        )
        counts = Counter(answers.values())
        record.result(
            f"{sum(server.extras for server in servers)} late second "
            f"answers among {sum(server.answers for server in servers)} "
            f"answers of {len(servers)} servers; answers to clients: "
            f"{dict(counts)}"
        )
    if not counts[200]:
        record.result("no request was served")
        return NOT_RUN
    found = _run_twice(runs)
    for text in [*found, *_refused_but_run(runs, answers)]:
        record.result(text)
    return BROKEN if found else HELD


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(__file__, _play, trouble=trouble))
