"""A daemon process that sessions can name as a witness."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.peer.messages.join import Join
    from burdockgap.records.session_entry import SessionEntry


class Member:
    """
    A process run that can be a witness or a successor.

    :param incarnation: id of the process run.
    :param session_id: its newest session.
    :param service: the service of its target.
    :param data_centre: its data centre.
    :param region: its region.
    :param peer_address: its ``ip:port`` for datagrams and peer calls.
    """

    __slots__ = (
        "data_centre",
        "incarnation",
        "peer_address",
        "region",
        "service",
        "session_id",
    )

    def __init__(
        self,
        *,
        incarnation: int,
        session_id: int,
        service: str,
        data_centre: str,
        region: str,
        peer_address: str,
    ) -> None:
        self.incarnation = incarnation
        self.session_id = session_id
        self.service = service
        self.data_centre = data_centre
        self.region = region
        self.peer_address = peer_address


def member_of(source: SessionEntry | Join) -> Member:
    """Return the member for a session or a join request."""
    return Member(
        incarnation=source.incarnation,
        session_id=source.session_id,
        service=source.service,
        data_centre=source.data_centre,
        region=source.region,
        peer_address=source.peer_address,
    )
