"""The owner of one key."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class OwnerView(View):
    """
    The owner of a key, as the responding daemon knows it.

    :param service: the keyed service.
    :param key: the key.
    :param slice_index: the slice that the key falls into.
    :param pinned: whether the key is pinned.
    :param epoch: the epoch of its unit.
    :param session_id: the owning session, or "".
    :param daemon: name of the owning daemon, or "".
    :param peer_address: its address for daemons, or "".
    :param http_address: its address for callers, or "".
    :param successor: name of the succeeding daemon, or "".
    """

    __slots__ = (
        "service",
        "key",
        "slice_index",
        "pinned",
        "epoch",
        "session_id",
        "daemon",
        "peer_address",
        "http_address",
        "successor",
    )

    def __init__(
        self,
        *,
        service: str,
        key: str,
        slice_index: int,
        pinned: bool,
        epoch: int,
        session_id: str,
        daemon: str,
        peer_address: str,
        http_address: str,
        successor: str,
    ) -> None:
        self.service = service
        self.key = key
        self.slice_index = slice_index
        self.pinned = pinned
        self.epoch = epoch
        self.session_id = session_id
        self.daemon = daemon
        self.peer_address = peer_address
        self.http_address = http_address
        self.successor = successor
