"""A session as recorded in the log."""

from __future__ import annotations

from burdockgap.records.witness_ref import WitnessRef
from burdockgap.wire.message import Message


class SessionEntry(Message):
    """
    One admitted session; none of its fields ever changes.

    :param session_id: random id of the session.
    :param incarnation: id of the daemon's process run.
    :param name: the daemon's name from its settings.
    :param service: the service of the daemon's target.
    :param data_centre: the daemon's data centre.
    :param region: the daemon's region.
    :param peer_address: ``ip:port`` for peer calls and datagrams.
    :param http_address: ``ip:port`` for callers.
    :param slots: requests that the target can run at once.
    :param witnesses: the witnesses that time the session's lease.
    :param successors: sessions that take its units when it ends.
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
        "witnesses",
        "successors",
    )
    TAG = 2

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
        witnesses: list[WitnessRef],
        successors: list[int],
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
        self.witnesses = witnesses
        self.successors = successors
