"""Lease counters of daemons and operation counts of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.parser import text_string_to_metric_families

if TYPE_CHECKING:
    import httpx

    from standins.cluster import Cluster, Server

_DATAGRAMS = "burdockgap_lease_datagrams_total"
_BYTES = "burdockgap_lease_bytes_total"


class LeaseTraffic:
    """
    Lease datagrams of one daemon, sent and received together.

    :param datagrams: number of datagrams.
    :param payload_bytes: size without UDP and IP headers.
    """

    __slots__ = ("datagrams", "payload_bytes")

    def __init__(self, *, datagrams: float, payload_bytes: float) -> None:
        self.datagrams = datagrams
        self.payload_bytes = payload_bytes


async def lease_traffic(
    client: httpx.AsyncClient, server: Server
) -> LeaseTraffic:
    """Return a daemon's lease counters since its start."""
    reply = await client.get(f"{server.admin_url}/metrics")
    sums = {_DATAGRAMS: 0.0, _BYTES: 0.0}
    for family in text_string_to_metric_families(reply.text):
        for sample in family.samples:
            if sample.name in sums:
                sums[sample.name] += sample.value
    return LeaseTraffic(datagrams=sums[_DATAGRAMS], payload_bytes=sums[_BYTES])


async def log_counts(
    client: httpx.AsyncClient, cluster: Cluster
) -> dict[str, int]:
    """Return the log's counts of appends, reads and bytes."""
    reply = await client.get(f"{cluster.log_url}/control/stats")
    counts: dict[str, int] = reply.json()
    return counts
