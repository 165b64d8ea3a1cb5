"""What a daemon has to know before it starts."""

from __future__ import annotations


class SidecarSettings:
    """
    Addresses and bounds of one daemon.

    :param name: the machine's name.
    :param data_centre: its data centre.
    :param region: the region of its data centre.
    :param service: service of the target beside it.
    :param ip: the machine's address, by which other daemons reach it.
    :param peer_host: address to listen on for other daemons.
    :param peer_port: port for calls and datagrams of other daemons.
    :param callers: where callers send requests.
    :param readiness: where the platform asks whether it is ready.
    :param control: where the target announces itself.
    :param store: the platform's store.
    :param budget_ratio: repeats allowed per request.
    :param budget_extra: repeats that all daemons may make besides.
    :param budget_window_s: window of that budget, in seconds.
    :param link_bytes_per_s: what the machine's link can send.
    :param drain_s: how long after its notice a leaving target may be
        sent work, in seconds.
    :param grace_s: time between the signal to stop and the end, in
        seconds.
    """

    __slots__ = (
        "budget_extra",
        "budget_ratio",
        "budget_window_s",
        "callers",
        "control",
        "drain_s",
        "grace_s",
        "ip",
        "link_bytes_per_s",
        "name",
        "peer_host",
        "peer_port",
        "readiness",
        "region",
        "service",
        "store",
        "data_centre",
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
