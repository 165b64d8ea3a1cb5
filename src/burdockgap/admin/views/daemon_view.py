"""One daemon's session."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class DaemonView(View):
    """
    A session of a daemon.

    :param name: the daemon's name.
    :param session_id: the session, as ``show_id`` writes it.
    :param service: the service of its target.
    :param data_centre: its data centre.
    :param region: its region.
    :param peer_address: its address for other daemons.
    :param http_address: its address for callers.
    :param draining: whether an operator drains its target.
    :param units: number of units assigned to it.
    """

    __slots__ = (
        "name",
        "session_id",
        "service",
        "data_centre",
        "region",
        "peer_address",
        "http_address",
        "draining",
        "units",
    )

    def __init__(
        self,
        *,
        name: str,
        session_id: str,
        service: str,
        data_centre: str,
        region: str,
        peer_address: str,
        http_address: str,
        draining: bool,
        units: int,
    ) -> None:
        self.name = name
        self.session_id = session_id
        self.service = service
        self.data_centre = data_centre
        self.region = region
        self.peer_address = peer_address
        self.http_address = http_address
        self.draining = draining
        self.units = units
