"""A part of a request's or a reply's body."""

from __future__ import annotations

from burdockgap.wire.message import Message


class BodyPart(Message):
    """
    A part of a request's or a reply's body.

    :param data: the bytes, not empty.
    """

    __slots__ = ("data",)
    TAG = 61

    def __init__(
        self,
        *,
        data: bytes,
    ) -> None:
        self.data = data
