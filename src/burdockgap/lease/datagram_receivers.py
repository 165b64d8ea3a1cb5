"""The receivers of datagrams at a daemon's lease socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.gate.quarantine import Quarantine
    from burdockgap.lease.certificates import Certificates
    from burdockgap.lease.holder import LeaseHolder
    from burdockgap.lease.witness import Witness


class DatagramReceivers:
    """
    The objects that handle the datagrams of the lease socket.

    :param witness: answers renewals.
    :param certificates: collects promises.
    :param on_offsets: called with a peer's address and its offsets in
        ``config`` and ``control``.
    :ivar holders: the leases of this daemon's sessions, by session id.
    :ivar quarantine: merges suspects; ``None`` while there is no gate.
    """

    __slots__ = (
        "certificates",
        "holders",
        "on_offsets",
        "quarantine",
        "witness",
    )

    def __init__(
        self,
        *,
        witness: Witness,
        certificates: Certificates,
        on_offsets: Callable[[str, int, int], None],
    ) -> None:
        self.witness = witness
        self.certificates = certificates
        self.on_offsets = on_offsets
        self.holders: dict[int, LeaseHolder] = {}
        self.quarantine: Quarantine | None = None
