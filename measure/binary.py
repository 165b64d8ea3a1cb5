"""Start time and memory, from the source tree and as one file."""

from __future__ import annotations

import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import httpx

from binary.archive import write_archive
from binary.contents import read_contents
from measure.usage import read_usage
from standins.cluster import Launch, open_cluster
from standins.cluster.launch import ROOT
from standins.cluster.server_plan import spread

if TYPE_CHECKING:
    from measure.recorder import Recorder
    from standins.cluster import Server

_RUNS = 7
_POLL_S = 0.005
_START_TIMEOUT_S = 20.0
_SETTLE_S = 3.0
_KIB = 1024
_CODEC_PROGRAM = """\
import time
from burdockgap.lease.dispatch import KINDS
from burdockgap.lease.messages.renew import Renew
from burdockgap.wire import pack, unpack
msg = Renew(session_id=1 << 60, witness_incarnation=1 << 59, seq=7,
            config_offset=1300, control_offset=90000)
started = time.perf_counter()
for _ in range(20000):
    unpack(pack(msg), KINDS)
print((time.perf_counter() - started) / 20000 * 1e6)
"""


def measure_binary(recorder: Recorder) -> None:
    """Record start time, codec time and memory of both forms."""
    with tempfile.TemporaryDirectory(prefix="burdockgap-") as folder:
        binary = Path(folder) / "burdockgap"
        write_archive(binary, read_contents(ROOT))
        forms = {
            "tree": Launch(command=[sys.executable, "-m", "burdockgap"]),
            "binary": Launch(
                command=[*_isolated_python(), str(binary)], env={}
            ),
        }
        paths = {"tree": ROOT / "src", "binary": binary}
        for name, launch in forms.items():
            recorder.add(
                "start",
                form=name,
                version_s=_version_time_s(launch),
                codec_us=_codec_time_us(name, paths[name]),
                **anyio.run(_measure_daemon, launch),
            )


def _isolated_python() -> list[str]:
    return [str(Path(sys.base_prefix) / "bin" / "python3"), "-I", "-S"]


def _version_time_s(launch: Launch) -> float:
    times_s = []
    for _ in range(_RUNS):
        started = time.monotonic()
        subprocess.run(
            [*launch.command, "--version"],
            check=True,
            env=launch.env,
            stdout=subprocess.DEVNULL,
        )
        times_s.append(time.monotonic() - started)
    return statistics.median(times_s)


def _codec_time_us(name: str, path: Path) -> float:
    python = [sys.executable] if name == "tree" else _isolated_python()
    text = f"import sys; sys.path.insert(0, {str(path)!r})\n{_CODEC_PROGRAM}"
    completed = subprocess.run(
        [*python, "-c", text], check=True, capture_output=True, text=True
    )
    return float(completed.stdout)


async def _measure_daemon(launch: Launch) -> dict[str, float]:
    times_s = []
    sizes_kib = []
    for _ in range(_RUNS):
        plans = spread("records", 1, ("d1",))
        async with open_cluster(plans, program=launch) as cluster:
            (server,) = cluster.servers.values()
            started = time.monotonic()
            server.daemon.start()
            await _wait_alive(server)
            times_s.append(time.monotonic() - started)
            await anyio.sleep(_SETTLE_S)
            sizes_kib.append(
                read_usage(server.daemon.pid).private_bytes / _KIB
            )
    return {
        "start_s": statistics.median(times_s),
        "private_kib": statistics.median(sizes_kib),
    }


async def _wait_alive(server: Server) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        with anyio.fail_after(_START_TIMEOUT_S):
            while True:
                try:
                    await client.get(f"{server.admin_url}/healthz")
                except httpx.TransportError:
                    await anyio.sleep(_POLL_S)
                else:
                    return
