"""Resource use of a site over a time window."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from measure.connections import TcpTraffic, bytes_between, tcp_traffic
from measure.counters import LeaseTraffic, lease_traffic, log_counts
from measure.usage import cpu_seconds, read_usage

if TYPE_CHECKING:
    import httpx

    from standins.cluster import Cluster, Server

_UDP_IP_HEADER_BYTES = 28


class Window:
    """
    Resource use of all running daemons since ``begin``.

    :param cluster: the site.
    :param client: HTTP client that reads counters.
    """

    __slots__ = (
        "_client",
        "_cluster",
        "_cpu",
        "_lease",
        "_log",
        "_servers",
        "_started",
        "_traffic",
    )

    def __init__(self, cluster: Cluster, client: httpx.AsyncClient) -> None:
        self._cluster = cluster
        self._client = client
        self._servers: list[Server] = []
        self._cpu: dict[int, float] = {}
        self._lease: dict[int, LeaseTraffic] = {}
        self._log: dict[str, int] = {}
        self._traffic = TcpTraffic()
        self._started = 0.0

    async def begin(self) -> None:
        """Start the window: read all counters."""
        self._servers = [
            server
            for server in self._cluster.servers.values()
            if server.daemon.is_running
        ]
        for server in self._servers:
            self._lease[server.daemon.pid] = await lease_traffic(
                self._client, server
            )
        self._log = await log_counts(self._client, self._cluster)
        self._traffic = tcp_traffic(self._pids())
        self._cpu = {pid: cpu_seconds(pid) for pid in self._pids()}
        self._started = time.monotonic()

    async def end(self) -> dict[str, float]:
        """
        Return the figures of the window.

        A figure is the median over the daemons that ran during the
        whole window, unless its name ends in ``all`` (sum) or ``max``
        (maximum). Appends and reads of the log are those of the whole
        site.
        """
        elapsed_s = time.monotonic() - self._started
        pids = self._pids()
        cpu = [cpu_seconds(pid) - self._cpu[pid] for pid in pids]
        now = tcp_traffic(pids)
        figures = self._memory_figures(pids)
        figures |= {
            "window_s": elapsed_s,
            "cpu_share": statistics.median(cpu) / elapsed_s,
            "cpu_share_max": max(cpu) / elapsed_s,
            "cpu_s_all": sum(cpu),
        }
        figures |= self._tcp_figures(now, pids, elapsed_s)
        figures |= await self._log_figures(elapsed_s)
        figures |= await self._lease_figures(elapsed_s)
        figures["control_bytes_per_s"] = (
            figures["lease_bytes_per_s"]
            + figures["log_bytes_per_s"]
            + figures["peer_bytes_per_s"]
        )
        return figures

    def _pids(self) -> list[int]:
        return [
            server.daemon.pid
            for server in self._servers
            if server.daemon.is_running
            and server.daemon.pid in (self._cpu or [server.daemon.pid])
        ]

    def _memory_figures(self, pids: list[int]) -> dict[str, float]:
        usages = [read_usage(pid) for pid in pids]
        private = [used.private_bytes for used in usages]
        return {
            "pss_bytes": statistics.median(used.pss_bytes for used in usages),
            "private_bytes": statistics.median(private),
            "private_bytes_max": max(private),
        }

    def _tcp_figures(
        self, now: TcpTraffic, pids: list[int], elapsed_s: float
    ) -> dict[str, float]:
        figures = {}
        for use in ("log", "peer"):
            sums = [
                sum(bytes_between(self._traffic, now, pid, use))
                for pid in pids
            ]
            figures[f"{use}_bytes_per_s"] = statistics.median(sums) / elapsed_s
            figures[f"{use}_bytes_per_s_max"] = max(sums) / elapsed_s
        return figures

    async def _log_figures(self, elapsed_s: float) -> dict[str, float]:
        counts = await log_counts(self._client, self._cluster)
        growth = {name: counts[name] - self._log[name] for name in counts}
        return {
            "appends": growth["appends"],
            "append_bytes": growth["bytes_in"],
            "reads": growth["reads"],
            "appends_per_s": growth["appends"] / elapsed_s,
            "reads_per_s": growth["reads"] / elapsed_s,
        }

    async def _lease_figures(self, elapsed_s: float) -> dict[str, float]:
        datagrams = []
        sizes = []
        pids = self._pids()
        for server in self._servers:
            if server.daemon.pid not in pids:
                continue
            before = self._lease[server.daemon.pid]
            now = await lease_traffic(self._client, server)
            count = now.datagrams - before.datagrams
            payload = now.payload_bytes - before.payload_bytes
            datagrams.append(count)
            sizes.append(payload + _UDP_IP_HEADER_BYTES * count)
        return {
            "lease_datagrams_per_s": statistics.median(datagrams) / elapsed_s,
            "lease_bytes_per_s": statistics.median(sizes) / elapsed_s,
            "lease_bytes_per_s_max": max(sizes) / elapsed_s,
        }
