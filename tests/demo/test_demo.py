from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DEMO_TIMEOUT_S = 60
_SESSION_FIELD_AFTER_NAME = 3

RUN = """\
import anyio, sys, demo.run as r
from demo.__main__ import main
{fault}
"""
FAULTS = {
    "wrong-document": (
        "r.DOCUMENT = '[services.records]\\nkeyd = true'",
        "publish the configuration: config publish ended with exit code 2",
    ),
    "target-never-starts": (
        "r.plans = lambda: [ServerPlan(name='records-1', "
        "service='records', data_centre='d', target_args=('--nonsense',))]",
        "start: the target of records-1 ended",
    ),
}


def _start(*args: str):
    return subprocess.Popen(
        [sys.executable, *args],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )


def _members(session):
    """Return the processes of a POSIX session except its leader."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except (FileNotFoundError, ProcessLookupError):
            continue
        pid = int(stat.parent.name)
        if (
            int(fields[_SESSION_FIELD_AFTER_NAME]) == session
            and pid != session
        ):
            found.append(pid)
    return found


@pytest.fixture
def demo():
    """Return a function that starts the demo; kills what remains."""
    started = []

    def start(*args: str):
        started.append(_start(*args))
        return started[-1]

    yield start
    for process in started:
        for pid in [process.pid, *_members(process.pid)]:
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                continue
        process.communicate()


def test_demo_works_and_leaves_nothing(demo):
    started = time.monotonic()
    process = demo("-m", "demo")
    out, err = process.communicate(timeout=DEMO_TIMEOUT_S)
    assert (process.returncode, err) == (0, "")
    assert out.endswith("demo: ok\n")
    assert "records-1     delta-1       records" in out
    assert "'ran': 180" in out
    assert _members(process.pid) == []
    assert time.monotonic() - started < DEMO_TIMEOUT_S


@pytest.mark.parametrize("name", FAULTS)
def test_demo_fails_with_the_reason(demo, name):
    fault, reason = FAULTS[name]
    fault = f"from standins.cluster import ServerPlan\n{fault}"
    process = demo("-c", RUN.format(fault=fault) + "sys.exit(anyio.run(main))")
    out, err = process.communicate(timeout=DEMO_TIMEOUT_S)
    assert process.returncode == 1
    assert f"demo: failed: {reason}" in err
    assert "demo: ok" not in out
    assert _members(process.pid) == []


def test_demo_ends_its_processes_when_told_to_stop(demo):
    process = demo("-m", "demo")
    deadline = time.monotonic() + DEMO_TIMEOUT_S
    while len(_members(process.pid)) < 5 and time.monotonic() < deadline:
        time.sleep(0.05)
    process.terminate()
    _, err = process.communicate(timeout=DEMO_TIMEOUT_S)
    assert (process.returncode, err) == (
        1,
        "demo: failed: it was interrupted\n",
    )
    assert _members(process.pid) == []
