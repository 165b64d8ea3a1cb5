"""Memory of an interpreter that only imports modules."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

from measure.recorder import ROOT
from measure.usage import Usage, read_usage

if TYPE_CHECKING:
    from measure.recorder import Recorder

_LIBRARIES = (
    "anyio, anyio._backends._asyncio, grpclib.client, grpclib.server, "
    "hypercorn.asyncio, hypercorn.config, httpx, loguru, msgpack, "
    "prometheus_client, returns.result, returns.pipeline"
)
_PROGRAMS = {
    "empty": "",
    "libraries": f"import {_LIBRARIES}",
    "product": "import burdockgap.daemon.serve, burdockgap.run",
}


def measure_baseline(recorder: Recorder) -> None:
    """Record processor time and memory of each import program."""
    for name, program in _PROGRAMS.items():
        used = _usage_after(program)
        recorder.add(
            "baseline",
            program=name,
            cpu_s=used.cpu_s,
            pss_bytes=used.pss_bytes,
            private_bytes=used.private_bytes,
        )


def _usage_after(program: str) -> Usage:
    """Return a child's usage after it ran the program."""
    text = f"{program}\nprint('ready', flush=True)\ninput()"
    with subprocess.Popen(
        [sys.executable, "-c", text],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT / "src")},
    ) as process:
        if process.stdout is None:
            raise RuntimeError(
                "the child process has no stdout; start it with a pipe"
            )
        process.stdout.readline()
        used = read_usage(process.pid)
        process.kill()
    return used
