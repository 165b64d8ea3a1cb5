"""The daemon started from the binary, in a cluster."""

from __future__ import annotations

import os
from functools import partial
from pathlib import Path

import anyio
import httpx
import pytest

from demo.site import DOCUMENT
from standins.cluster import open_cluster
from standins.cluster.server_plan import spread

DATA_CENTRES = ("dc1", "dc2")
OWNERSHIP_TIMEOUT_S = 20


async def _serve_and_inspect(program, inspect):
    plans = spread("records", 2, DATA_CENTRES)
    async with open_cluster(plans, program=program) as cluster:
        await cluster.start()
        await cluster.publish(DOCUMENT)
        servers = list(cluster.servers.values())
        for server in servers:
            assert await _post_until_served(server) == 200
            inspect(server.daemon.pid)
        for server in servers:
            assert await server.daemon.terminate() == 0
            assert "forbidden" not in server.daemon.text()


async def _post_until_served(server):
    async with httpx.AsyncClient() as client:
        with anyio.move_on_after(OWNERSHIP_TIMEOUT_S):
            while True:
                reply = await client.post(
                    f"{server.url}/records/pump-1",
                    headers={"Burdockgap-Key": "pump-1"},
                )
                if reply.status_code == 200:
                    break
                await anyio.sleep(0.1)
    return reply.status_code


def _inspect(pid):
    proc = Path(f"/proc/{pid}")
    assert _children(proc) == []
    assert _written_files(proc) == []


def _children(proc):
    return [
        child
        for task in (proc / "task").iterdir()
        for child in (task / "children").read_text().split()
    ]


def _written_files(proc):
    """Return files open for writing, except the output."""
    expected = {"/dev/null", str((proc / "fd" / "1").readlink())}
    written = []
    for link in list((proc / "fd").iterdir()):
        try:
            path = str(link.readlink())
        except FileNotFoundError:
            continue
        if not path.startswith("/") or path in expected:
            continue
        flags = (proc / "fdinfo" / link.name).read_text()
        mode = int(flags.split("flags:")[1].split()[0], 8) & os.O_ACCMODE
        if mode != os.O_RDONLY:
            written.append(path)
    return written


def test_daemon_needs_no_disk_and_no_child(bare):
    with pytest.raises(FileNotFoundError):
        (bare.cwd / "probe").touch()
    anyio.run(partial(_serve_and_inspect, bare, _inspect))


def test_inspection_sees_files_and_children(tmp_path):
    proc = Path("/proc/self")
    with (tmp_path / "written").open("w") as file:
        assert file.name in _written_files(proc)
    child = os.posix_spawn("/bin/sleep", ["sleep", "30"], {})
    try:
        assert str(child) in _children(proc)
    finally:
        os.kill(child, 9)
        os.waitpid(child, 0)
