"""Statements that inject faults into processes and the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx

from burdockgap.records.streams import CONFIG, CONTROL
from standins.scenario.statement_definition import define_statement

if TYPE_CHECKING:
    from standins.cluster.process import Process
    from standins.scenario.run import Run

_PART = r"(?P<part>daemon|target|server)"
_NO_LOG_FAULTS = {"down": False, "delay_s": 0.0, "lose_replies": 0}
_TIMEOUT_S = 5.0


def _processes(run: Run, part: str, references: str) -> list[Process]:
    found = []
    for server in run.servers(references):
        if part != "target":
            found.append(server.daemon)
        if part != "daemon":
            found.append(server.target)
    return found


@define_statement(rf"kill {_PART} (?P<references>.+)")
async def kill(run: Run, *, part: str, references: str) -> None:
    """Kill the processes of comma-separated servers."""
    processes = _processes(run, part, references)
    run.record_fault()
    for process in processes:
        process.kill()


@define_statement(rf"freeze {_PART} (?P<reference>.+)")
async def freeze(run: Run, *, part: str, reference: str) -> None:
    """Suspend processes until ``thaw``."""
    processes = _processes(run, part, reference)
    run.record_fault()
    for process in processes:
        process.freeze()


@define_statement(rf"thaw {_PART} (?P<reference>.+)")
async def thaw(run: Run, *, part: str, reference: str) -> None:
    """Resume frozen processes."""
    for process in _processes(run, part, reference):
        process.thaw()


@define_statement(r"log down")
async def log_down(run: Run) -> None:
    """Make the log refuse all calls."""
    await _control(run, {"down": True})


@define_statement(r"log up")
async def log_up(run: Run) -> None:
    """End all faults of the log."""
    await _control(run, _NO_LOG_FAULTS)


@define_statement(r"log slow (?P<seconds>[\d.]+)s")
async def log_slow(run: Run, *, seconds: str) -> None:
    """Make the log delay all calls by some seconds."""
    await _control(run, {"delay_s": float(seconds)})


@define_statement(r"log lose replies (?P<count>\d+)")
async def log_lose(run: Run, *, count: str) -> None:
    """Make the log execute the next appends but not answer them."""
    await _control(run, {"lose_replies": int(count)})


@define_statement(r"log trim")
async def log_trim(run: Run) -> None:
    """
    Delete the records that the observer has folded.

    A daemon that has not read them must load a snapshot.
    """
    for stream in (CONFIG, CONTROL):
        before = run.observer.folds.offset(stream)
        await _control(run, {"trim": {"stream": stream, "before": before}})


async def _control(run: Run, settings: dict[str, Any]) -> None:
    run.record_fault()
    async with httpx.AsyncClient(trust_env=False) as client:
        reply = await client.post(
            f"{run.cluster.log_url}/control", json=settings, timeout=_TIMEOUT_S
        )
        reply.raise_for_status()
