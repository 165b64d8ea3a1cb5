"""Settings that a sidecar daemon is started with."""

from __future__ import annotations

from burdockgap.scheduling.quota_limits import QuotaBounds


class SidecarSettings:
    """
    Addresses and limits of one daemon.

    Addresses of type tuple are pairs of host and port.

    :param name: the machine's name.
    :param data_centre: the machine's data centre.
    :param region: the region of its data centre.
    :param service: service of the target on this machine.
    :param ip: the machine's address, by which other daemons reach it.
    :param peer_host: address to listen on for other daemons.
    :param peer_port: port for calls and datagrams of other daemons.
    :param callers: address to listen on for callers' requests.
    :param readiness: address to listen on for the platform's readiness
        checks.
    :param control: address to listen on for the target's heartbeats.
    :param store: address of the platform's store.
    :param budget_ratio: retries allowed per request.
    :param budget_extra: retries allowed in addition, by all daemons
        together.
    :param budget_window_s: window of the retry budget, in seconds.
    :param link_bytes_per_s: rate of the machine's network link.
    :param cores: processor time of the machine, in seconds per second.
    :param drain_s: seconds after its notice for which a draining target
        may be sent requests.
    :param grace_s: seconds between the signal to stop and the forced
        end of the process.
    :param buffer_bytes: limit on all messages and connections that the
        process holds.
    :param descriptors: descriptors that the process may have open.
    :param quota_bounds: what may exceed the quotas of accounts.
    """

    __slots__ = (
        "budget_extra",
        "budget_ratio",
        "budget_window_s",
        "buffer_bytes",
        "callers",
        "control",
        "cores",
        "drain_s",
        "grace_s",
        "ip",
        "link_bytes_per_s",
        "name",
        "peer_host",
        "peer_port",
        "quota_bounds",
        "readiness",
        "region",
        "service",
        "store",
        "data_centre",
        "descriptors",
    )

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        region: str,
        service: str,
        ip: str,
        peer_host: str,
        peer_port: int,
        callers: tuple[str, int],
        readiness: tuple[str, int],
        control: tuple[str, int],
        store: tuple[str, int],
        budget_ratio: float,
        budget_extra: float,
        budget_window_s: float,
        link_bytes_per_s: float,
        drain_s: float,
        grace_s: float,
        buffer_bytes: int,
        quota_bounds: QuotaBounds | None = None,
        descriptors: int = 4096,
        cores: float = 1.0,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.service = service
        self.ip = ip
        self.peer_host = peer_host
        self.peer_port = peer_port
        self.callers = callers
        self.readiness = readiness
        self.control = control
        self.store = store
        self.budget_ratio = budget_ratio
        self.budget_extra = budget_extra
        self.budget_window_s = budget_window_s
        self.link_bytes_per_s = link_bytes_per_s
        self.drain_s = drain_s
        self.grace_s = grace_s
        self.buffer_bytes = buffer_bytes
        self.quota_bounds = quota_bounds or QuotaBounds()
        self.descriptors = descriptors
        self.cores = cores
