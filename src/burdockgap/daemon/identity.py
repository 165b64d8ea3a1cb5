"""Identity of a daemon process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.wire.ids import new_id

if TYPE_CHECKING:
    from burdockgap.settings import Settings


class Identity:
    """
    Name, location and addresses of this process run.

    :param settings: the daemon's settings.
    :ivar incarnation: random id of this process run.
    :ivar peer_address: ``ip:port`` that peers use.
    :ivar http_address: ``ip:port`` that callers use.
    """

    __slots__ = (
        "data_centre",
        "http_address",
        "incarnation",
        "name",
        "peer_address",
        "region",
    )

    def __init__(self, settings: Settings) -> None:
        self.incarnation = new_id()
        self.name = settings.daemon.name
        self.data_centre = settings.daemon.data_centre
        self.region = settings.daemon.region
        self.peer_address = settings.peer.advertise or settings.peer.bind
        self.http_address = settings.http.advertise or settings.http.bind
