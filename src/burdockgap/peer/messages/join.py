"""A request to be admitted."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Join(Message):
    """
    A daemon asks the coordinator for a session.

    :param session_id: the session's id, chosen by the daemon.
    :param incarnation: id of the daemon's process run.
    :param name: the daemon's name.
    :param service: the target's service.
    :param data_centre: the daemon's data centre.
    :param region: the daemon's region.
    :param peer_address: ``ip:port`` for peer calls and datagrams.
    :param http_address: ``ip:port`` for callers.
    :param slots: requests that the target can run at once.
    """

    __slots__ = (
        "session_id",
        "incarnation",
        "name",
        "service",
        "data_centre",
        "region",
        "peer_address",
        "http_address",
        "slots",
    )
    TAG = 64

    def __init__(
        self,
        *,
        session_id: int,
        incarnation: int,
        name: str,
        service: str,
        data_centre: str,
        region: str,
        peer_address: str,
        http_address: str,
        slots: int,
    ) -> None:
        self.session_id = session_id
        self.incarnation = incarnation
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.region = region
        self.peer_address = peer_address
        self.http_address = http_address
        self.slots = slots
