"""Taking a data centre out of service or back in."""

from __future__ import annotations

from burdockgap.wire.message import Message


class SetDataCentre(Message):
    """
    Sets whether a data centre receives new work.

    :param name: the data centre.
    :param out: whether it is out of service.
    """

    __slots__ = (
        "name",
        "out",
    )
    TAG = 32

    def __init__(
        self,
        *,
        name: str,
        out: bool,
    ) -> None:
        self.name = name
        self.out = out
